#pragma once

#include "Calls/CallMessages.h"

#include <map>
#include <optional>
#include <string>

namespace Damaskgrade {

// Puts the parts of one answer in order: passes on only the text of the current attempt at the next
// offset, holds a bounded number of early bytes, and drops duplicates and parts of other calls or attempts.
class AnswerAssembler {
public:
    // The first part that is passed on starts at startOffset.
    AnswerAssembler(std::string callId, std::size_t maxEarlyBytes, std::uint64_t startOffset = 0);

    // Takes parts of this attempt only from now on. They continue at the offset that was reached.
    void beginAttempt(std::uint32_t attempt);

    // Returns the text that may be passed on now, which may be empty.
    std::string accept(const PartMessage& part);

    // The end may come before the last parts. Returns whether it belongs to the current attempt.
    bool acceptEnd(const EndMessage& end);

    // Whether the attempt has ended in order and all of its text was passed on.
    bool isComplete() const;

    // Whether the attempt can't be completed: early parts did not fit, or the total is below the offset.
    bool isBroken() const { return isBroken_; }

    // The end of the current attempt, once received.
    const std::optional<EndMessage>& end() const { return end_; }

    std::uint64_t offset() const { return offset_; }
    std::uint64_t ignoredParts() const { return ignoredParts_; }

private:
    bool isCurrent(const std::string& callId, std::uint32_t attempt);
    void bufferEarlyPart(const PartMessage& part);

    std::string callId_;
    std::size_t maxEarlyBytes_;
    std::uint32_t attempt_ { 0 };
    std::uint64_t offset_;
    std::map<std::uint64_t, std::string> earlyParts_;
    std::size_t earlyBytes_ { 0 };
    std::optional<EndMessage> end_;
    bool isBroken_ { false };
    std::uint64_t ignoredParts_ { 0 };
};

}
