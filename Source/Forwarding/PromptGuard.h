#pragma once

#include "Fleet/ServerRecord.h"
#include "Forwarding/CrashDetector.h"
#include "Logging/DecisionLog.h"
#include "Quarantine/PromptQuarantine.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Damaskgrade {

// How far the server has come with a prompt in one attempt.
struct PromptExposure {
    TimePoint sentAt;
    // The server has survived the start of the response, so that the prompt is not the cause of a later crash.
    bool hasSurvivedStart { false };
    // The head of the response has arrived, but none of its events.
    bool hasBegunWithoutEvent { false };
};

// Keeps the prompt of one request from crashing one server after the other: asks the quarantine whether the request may be
// sent, and reports what its attempts show of the parts of the prompt.
class PromptGuard {
public:
    // The requester distinguishes the requests of this entry in the quarantine.
    PromptGuard(PromptQuarantine& quarantine, CrashDetector& crashDetector, std::vector<PromptPart> parts, std::uint64_t requester);

    // Decides whether the request may be sent now.
    QuarantineVerdict admit();

    // Returns whether the request had a suspect part when it was last admitted, and may become the probe of it.
    bool isProbe() const { return isProbe_; }
    bool isSuspect() const { return quarantine_.isSuspect(parts_); }

    // Returns whether the request should be withdrawn from a server that has not begun it.
    bool mustWithdraw() const { return quarantine_.mustWithdraw(parts_, requester_); }

    // Records that a server has survived the start of the response.
    void recordResponse() { quarantine_.recordResponse(parts_); }

    // Returns whether the prompt is the cause of the crash if the server has crashed.
    bool mayHaveCrashed(const PromptExposure& exposure) const { return !exposure.hasSurvivedStart && !parts_.empty(); }

    // Checks whether the server has crashed whose connection broke. Calls done once the quarantine has learned of a crash.
    void checkForCrash(const ServerRecord& server, const PromptExposure& exposure, std::function<void()> done);

    // The same without waiting for the result. Only a server that the prompt, or a request that was left, may have crashed is
    // checked.
    void recordPossibleCrash(const ServerRecord& server, const PromptExposure& exposure);

    // Checks the server only because of requests that were left.
    void recordBrokenConnection(const ServerRecord& server);

    // Records that the request was ended by its caller or by this entry. The server may begin it before it learns of that.
    void recordAbandonment(const std::string& serverId, const PromptExposure& exposure);

    // Ends the probe if the request was one. Call when the request is finished.
    void release() { quarantine_.release(parts_, requester_); }

    // Adds the first parts of the prompt and their number, if it has any.
    void addTo(LogLine& line, bool hasBegun) const;

private:
    PromptQuarantine& quarantine_;
    CrashDetector& crashDetector_;
    std::vector<PromptPart> parts_;
    std::uint64_t requester_;
    bool isProbe_ { false };
};

}
