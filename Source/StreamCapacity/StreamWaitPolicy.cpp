#include "StreamCapacity/StreamWaitPolicy.h"

#include <algorithm>

namespace Damaskgrade {

StreamWait StreamWaitPolicy::decide(bool isLate, Duration waited, std::optional<Duration> expectedRoom, std::uint64_t number) const
{
    StreamWait wait;
    wait.mayWait = waited < settings_.maxWait && (!isLate || (expectedRoom && waited + *expectedRoom <= settings_.maxWait));
    Duration until = std::clamp<Duration>(expectedRoom.value_or(settings_.maxRetryAfter), settings_.minRetryAfter, settings_.maxRetryAfter);
    double share = static_cast<double>(number % settings_.retryAfterSteps) / static_cast<double>(settings_.retryAfterSteps);
    wait.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(until * (1 + settings_.retryAfterSpread * share));
    return wait;
}

}
