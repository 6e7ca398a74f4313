#include "Forwarding/RequestTiming.h"

#include <algorithm>

namespace Damaskgrade {

RequestTiming::RequestTiming(
    TimePoint arrivedAt, const Route& route, std::optional<std::chrono::milliseconds> deadline, std::chrono::milliseconds callerAge, const ForwardingSettings& settings)
    : settings_(settings)
    , isStream_(route.kind == RequestKind::Streaming)
    , targetLatency_(route.targetLatency)
    , eventPatience_(route.eventPatience())
    , arrivedAt_(arrivedAt)
    , expiresAt_(arrivedAt + route.timeout)
    , callerAge_(callerAge)
    , targetAt_(arrivedAt + route.targetLatency - callerAge)
{
    if (deadline && *deadline <= route.timeout) {
        expiresAt_ = arrivedAt_ + *deadline;
        expiresAtRouteTimeout_ = false;
    }
    Duration maxWait = std::chrono::duration_cast<Duration>((expiresAt_ - arrivedAt_) * settings_.maxWait);
    waitUntil_ = arrivedAt_ + (isStream_ ? std::min<Duration>(settings_.maxStreamWait, expiresAt_ - arrivedAt_) : maxWait);
}

TimePoint RequestTiming::respondAt() const
{
    return expiresAtRouteTimeout_ ? expiresAt_ : expiresAt_ - settings_.deadlineMargin;
}

bool RequestTiming::willBeLate(TimePoint now, Duration expectedResponse) const
{
    Duration maxExpected = std::chrono::duration_cast<Duration>(targetLatency_ * settings_.maxExpectedShare);
    return now + std::min(maxExpected, expectedResponse) > targetAt_;
}

bool RequestTiming::mayWait(TimePoint now, const WaitingState& state) const
{
    TimePoint until = state.mayHaveRun ? expiresAt_ : waitUntil_;
    if (!state.mayHaveRun && (state.isProbe || state.isServiceUnavailable))
        until = std::max(until, std::min(arrivedAt_ + settings_.maxOutageWait, expiresAt_ - settings_.deadlineMargin));
    bool isOverdue = isStream_ && !state.mayHaveRun && state.isLate && now >= arrivedAt_ + settings_.maxLateWait;
    return now < until && (!isOverdue || state.isProbe || state.hadRecentOutage);
}

}
