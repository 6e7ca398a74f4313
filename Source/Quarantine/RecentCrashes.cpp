#include "Quarantine/RecentCrashes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Damaskgrade {

namespace {

void sortUnique(std::vector<PromptPart>& parts)
{
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
}

}

RecentCrashes::RecentCrashes(std::size_t maxCrashes, std::size_t maxParts)
    : maxCrashes_(maxCrashes)
    , maxParts_(maxParts)
{
}

void RecentCrashes::add(std::vector<PromptPart> parts)
{
    sortUnique(parts);
    partCount_ += parts.size();
    crashes_.push_back(std::move(parts));
    while (!crashes_.empty() && (crashes_.size() > maxCrashes_ || partCount_ > maxParts_)) {
        partCount_ -= crashes_.front().size();
        crashes_.pop_front();
    }
}

std::vector<PromptPart> RecentCrashes::explained(const std::function<Suspicion(PromptPart)>& suspicionOf) const
{
    std::vector<PromptPart> explained;
    std::vector<PromptPart> needed;
    for (const std::vector<PromptPart>& parts : crashes_) {
        std::vector<Suspicion> suspicions;
        suspicions.reserve(parts.size());
        std::uint32_t mostCrashes = 0;
        for (PromptPart part : parts) {
            suspicions.push_back(suspicionOf(part));
            if (suspicions.back().isBlocked)
                mostCrashes = std::max(mostCrashes, suspicions.back().crashes);
        }
        for (std::size_t i = 0; i < parts.size(); ++i)
            (suspicions[i].crashes < mostCrashes ? explained : needed).push_back(parts[i]);
    }
    sortUnique(explained);
    sortUnique(needed);
    std::vector<PromptPart> result;
    std::set_difference(explained.begin(), explained.end(), needed.begin(), needed.end(), std::back_inserter(result));
    return result;
}

bool RecentCrashes::haveOtherCause(gsl::span<const PromptPart> parts, const std::function<Suspicion(PromptPart)>& suspicionOf) const
{
    bool hasCrash = false;
    for (const std::vector<PromptPart>& crash : crashes_) {
        std::uint32_t ownCrashes = 0;
        std::uint32_t otherCrashes = 0;
        for (PromptPart part : crash) {
            Suspicion suspicion = suspicionOf(part);
            if (!suspicion.isRestricted)
                continue;
            std::uint32_t& crashes = std::binary_search(parts.begin(), parts.end(), part) ? ownCrashes : otherCrashes;
            crashes = std::max(crashes, suspicion.crashes);
        }
        if (ownCrashes > otherCrashes)
            return false;
        hasCrash = hasCrash || ownCrashes > 0;
    }
    return hasCrash;
}

}
