#pragma once

#include "Core/Clock.h"
#include "Forwarding/ForwardingSettings.h"
#include "Forwarding/StreamWait.h"

#include <cstdint>
#include <optional>

namespace Damaskgrade {

struct StreamWaitSettings {
    std::chrono::milliseconds minRetryAfter { ForwardingSettings().retryAfter };
    // Callers keep to a time up to this share of what they have left.
    double maxRetryShare { 1.0 / 3 };
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
    // a server will have room for the request, if it is known, and the first event comes this much later.
    StreamWait decide(bool isLate, const StreamWaitLimits& limits, std::optional<Duration> expectedRoom, Duration firstEvent, std::uint64_t number) const;

private:
    StreamWaitSettings settings_;
};

}
