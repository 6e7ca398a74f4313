#include "Forwarding/PromptGuard.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

// Number of prompt parts in a line of the log.
constexpr std::size_t maxLoggedParts = 16;

}

PromptGuard::PromptGuard(PromptQuarantine& quarantine, CrashDetector& crashDetector, std::vector<PromptPart> parts, std::uint64_t requester)
    : quarantine_(quarantine)
    , crashDetector_(crashDetector)
    , parts_(std::move(parts))
    , requester_(requester)
{
}

QuarantineVerdict PromptGuard::admit()
{
    QuarantineVerdict verdict = quarantine_.admit(parts_, requester_);
    isProbe_ = verdict.decision == QuarantineDecision::Wait || isSuspect();
    return verdict;
}

void PromptGuard::checkForCrash(const ServerRecord& server, const PromptExposure& exposure, std::function<void()> done)
{
    crashDetector_.connectionBroke(server, { parts_, exposure.sentAt, exposure.hasBegunWithoutEvent }, std::move(done));
}

void PromptGuard::recordPossibleCrash(const ServerRecord& server, const PromptExposure& exposure)
{
    std::vector<PromptPart> parts = exposure.hasSurvivedStart ? std::vector<PromptPart>() : parts_;
    if (!parts.empty() || crashDetector_.hasAbandoned(server.id))
        crashDetector_.connectionBroke(server, { std::move(parts), exposure.sentAt, exposure.hasBegunWithoutEvent }, [] {});
}

void PromptGuard::recordBrokenConnection(const ServerRecord& server)
{
    if (crashDetector_.hasAbandoned(server.id))
        crashDetector_.connectionBroke(server, {}, [] {});
}

void PromptGuard::recordAbandonment(const std::string& serverId, const PromptExposure& exposure)
{
    if (mayHaveCrashed(exposure))
        crashDetector_.requestAbandoned(serverId, { parts_, exposure.sentAt, exposure.hasBegunWithoutEvent });
}

void PromptGuard::addTo(LogLine& line, bool hasBegun) const
{
    if (parts_.empty())
        return;
    gsl::span<const PromptPart> logged = gsl::make_span(parts_).first(std::min(parts_.size(), maxLoggedParts));
    line.add("begun", hasBegun).add("promptParts", formatPromptParts(logged)).add("promptPartCount", std::uint64_t { parts_.size() });
}

}
