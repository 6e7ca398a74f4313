#pragma once

#include "Catalog/Catalog.h"
#include "Core/Clock.h"
#include "Forwarding/ForwardingSettings.h"
#include "Forwarding/StreamWait.h"

#include <chrono>
#include <optional>

namespace Damaskgrade {

// What determines whether a request without a server waits on.
struct WaitingState {
    // The request was or may have been executed.
    bool mayHaveRun { false };
    // The request becomes the probe of a suspect prompt part.
    bool isProbe { false };
    // All servers of the service refuse requests, or there is none.
    bool isServiceUnavailable { false };
    bool hadRecentOutage { false };
    // The response can no longer begin within the target latency.
    bool isLate { false };
};

// The times of one request: when it expires, until when its response is on time, and how long it may wait for a server.
class RequestTiming {
public:
    // The deadline is the time that the caller waits from now on, if it is stated. The caller's age is the time since the
    // caller's first attempt, of which this request may be a retry.
    RequestTiming(TimePoint arrivedAt, const Route& route, std::optional<std::chrono::milliseconds> deadline, std::chrono::milliseconds callerAge, const ForwardingSettings& settings);

    TimePoint arrivedAt() const { return arrivedAt_; }
    std::chrono::milliseconds callerAge() const { return callerAge_; }

    // Returns the caller's deadline or the end of the route's timeout, whichever is earlier.
    TimePoint expiresAt() const { return expiresAt_; }
    // Returns whether the request expires at the end of the route's timeout, and not at the caller's deadline.
    bool expiresAtRouteTimeout() const { return expiresAtRouteTimeout_; }

    // Returns when the request must be answered, whatever the result.
    TimePoint respondAt() const;

    // Returns whether an error now is one of a request that has taken too long.
    bool hasTimedOut(TimePoint now) const { return now >= expiresAt_ - settings_.deadlineMargin; }

    // Returns whether a response that begins after the expected time probably misses the target latency, which counts from
    // the caller's first attempt.
    bool willBeLate(TimePoint now, Duration expectedResponse) const;

    // Returns whether a request that was not executed may wait for this time.
    bool mayWaitFor(TimePoint now, Duration time) const { return now + time <= waitUntil_; }

    bool mayWait(TimePoint now, const WaitingState& state) const;

    StreamWaitLimits streamWaitLimits(TimePoint now) const { return { now - arrivedAt_, eventPatience_, expiresAt_ - now }; }

private:
    ForwardingSettings settings_;
    bool isStream_ { false };
    std::chrono::milliseconds targetLatency_ { 0 };
    std::chrono::milliseconds eventPatience_ { 0 };
    TimePoint arrivedAt_;
    TimePoint expiresAt_;
    bool expiresAtRouteTimeout_ { true };
    std::chrono::milliseconds callerAge_ { 0 };
    TimePoint targetAt_;
    TimePoint waitUntil_;
};

}
