#pragma once

#include "Core/Clock.h"
#include "Forwarding/StreamWait.h"

#include <cstdint>
#include <optional>

namespace Damaskgrade {

struct StreamWaitSettings {
    // Callers cancel a stream that has no first event after two seconds; a stream that is sent later than this has no time left
    // for its first pass.
    std::chrono::milliseconds maxWait { 1700 };
    std::chrono::milliseconds minRetryAfter { 700 };
    // Callers come back only if they have three times as long left.
    std::chrono::milliseconds maxRetryAfter { 2000 };
    // Number of different times that callers are told, and by how much the last one exceeds the first one.
    std::uint64_t retryAfterSteps { 16 };
    double retryAfterSpread { 0.25 };
};

// Determines how long a stream waits, and when its caller should come back if it is refused. A stream waits while it can be on
// time, and after that only if room is expected before its caller cancels it.
class StreamWaitPolicy {
public:
    explicit StreamWaitPolicy(StreamWaitSettings settings)
        : settings_(settings)
    {
    }

    // The number of the request distinguishes the callers that are refused at the same time. The expected room is the time until
    // a server will have room for the request, if it is known.
    StreamWait decide(bool isLate, Duration waited, std::optional<Duration> expectedRoom, std::uint64_t number) const;

private:
    StreamWaitSettings settings_;
};

}
