#include "Quarantine/CrashCauses.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

CrashCauses::CrashCauses(std::size_t maxCrashes)
    : maxCrashes_(maxCrashes)
{
}

void CrashCauses::add(std::vector<PromptPart> parts)
{
    if (crashes_.size() >= maxCrashes_)
        crashes_.pop_front();
    crashes_.push_back(std::move(parts));
}

std::vector<PromptPart> CrashCauses::takeResolved(const std::function<bool(PromptPart)>& isSound)
{
    std::vector<PromptPart> resolved;
    for (auto parts = crashes_.begin(); parts != crashes_.end();) {
        parts->erase(std::remove_if(parts->begin(), parts->end(), isSound), parts->end());
        if (parts->size() > 1) {
            ++parts;
            continue;
        }
        resolved.insert(resolved.end(), parts->begin(), parts->end());
        parts = crashes_.erase(parts);
    }
    return resolved;
}

}
