#pragma once

#include "Calls/CallMessages.h"

#include <map>
#include <optional>
#include <string>

namespace Damaskgrade {

// Reassembles the parts of one answer in order. Returns the text of the current attempt that continues at the
// current offset, buffers a bounded number of bytes of early parts (parts beyond that offset), and ignores
// duplicates and parts of other calls or attempts.
class AnswerAssembler {
public:
    // startOffset is the offset, in bytes, of the first text that accept returns.
    AnswerAssembler(std::string callId, std::size_t maxEarlyBytes, std::uint64_t startOffset = 0);

    // Accepts only parts of this attempt from now on. The answer continues at the current offset.
    void beginAttempt(std::uint32_t attempt);

    // Returns the text that is now complete up to the new offset. May be empty.
    std::string accept(const PartMessage& part);

    // Records the end, which may arrive before the last parts. Returns whether it belongs to the current attempt.
    bool acceptEnd(const EndMessage& end);

    // Whether the attempt ended with Ok and accept returned all of its text.
    bool isComplete() const;

    // Whether the attempt can't be completed: early parts exceeded the buffer, or the total is below the offset.
    bool isBroken() const { return isBroken_; }

    // The end of the current attempt, if it was received.
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
