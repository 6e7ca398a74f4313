#include "StreamCapacity/StreamWaitPolicy.h"

#include <algorithm>

namespace Damaskgrade {

StreamWait StreamWaitPolicy::decide(bool isLate, const StreamWaitLimits& limits, std::optional<Duration> expectedRoom, Duration firstEvent, std::uint64_t number) const
{
    StreamWait wait;
    Duration maxWait = limits.patience - firstEvent;
    wait.mayWait = limits.waited < maxWait && (!isLate || (expectedRoom && limits.waited + *expectedRoom <= maxWait));
    // The latest of the spread times must not be above what callers keep to.
    Duration shortest = settings_.minRetryAfter;
    Duration longest = std::max(shortest, std::chrono::duration_cast<Duration>(limits.timeLeft * (settings_.maxRetryShare / (1 + settings_.retryAfterSpread))));
    Duration until = std::clamp(expectedRoom.value_or(longest), shortest, longest);
    double share = static_cast<double>(number % settings_.retryAfterSteps) / static_cast<double>(settings_.retryAfterSteps);
    wait.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(until * (1 + settings_.retryAfterSpread * share));
    return wait;
}

}
