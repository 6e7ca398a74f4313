#include "Forwarding/RequestTiming.h"
#include "Forwarding/EventTimes.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint arrival { std::chrono::seconds(100) };

Route streamRoute(milliseconds targetLatency, milliseconds targetGap)
{
    Route route;
    route.kind = RequestKind::Streaming;
    route.timeout = milliseconds(8000);
    route.targetLatency = targetLatency;
    route.targetGap = targetGap;
    return route;
}

}

// Guards against a request that is answered after its caller has left, or cut off before the route's timeout.
TEST_CASE("a request expires at the earlier one of its deadline and its route's timeout")
{
    Route route = streamRoute(milliseconds(400), milliseconds(120));
    RequestTiming byRoute(arrival, route, std::nullopt, milliseconds(0), {});
    CHECK(byRoute.expiresAtRouteTimeout());
    CHECK(byRoute.respondAt() == arrival + milliseconds(8000));
    RequestTiming byDeadline(arrival, route, milliseconds(3000), milliseconds(0), {});
    CHECK(!byDeadline.expiresAtRouteTimeout());
    CHECK(byDeadline.respondAt() == arrival + milliseconds(2960));
    CHECK(!byDeadline.hasTimedOut(arrival + milliseconds(2959)));
    CHECK(byDeadline.hasTimedOut(arrival + milliseconds(2960)));
}

// Guards against a caller's retry that is treated as able to meet the target latency.
TEST_CASE("the target latency counts from the caller's first attempt")
{
    Route route = streamRoute(milliseconds(400), milliseconds(120));
    CHECK(!RequestTiming(arrival, route, std::nullopt, milliseconds(0), {}).willBeLate(arrival, milliseconds(200)));
    CHECK(RequestTiming(arrival, route, std::nullopt, milliseconds(300), {}).willBeLate(arrival, milliseconds(200)));
    // A slow service does not make each new request late.
    CHECK(!RequestTiming(arrival, route, std::nullopt, milliseconds(0), {}).willBeLate(arrival, milliseconds(5000)));
}

// Guards against a stream that waits in vain, and against one that is refused although its service returns soon.
TEST_CASE("a late stream waits for a short time, longer during and after an outage, and until it expires once it may have run")
{
    RequestTiming timing(arrival, streamRoute(milliseconds(400), milliseconds(120)), std::nullopt, milliseconds(0), {});
    auto mayWait = [&timing](milliseconds waited, const WaitingState& state) { return timing.mayWait(arrival + waited, state); };
    WaitingState late;
    late.isLate = true;
    CHECK(mayWait(milliseconds(49), late));
    CHECK(!mayWait(milliseconds(50), late));
    CHECK(mayWait(milliseconds(239), {}));
    CHECK(!mayWait(milliseconds(240), {}));
    late.hadRecentOutage = true;
    CHECK(mayWait(milliseconds(239), late));
    WaitingState unavailable;
    unavailable.isServiceUnavailable = true;
    CHECK(mayWait(milliseconds(1699), unavailable));
    CHECK(!mayWait(milliseconds(1700), unavailable));
    WaitingState executed;
    executed.mayHaveRun = true;
    CHECK(mayWait(milliseconds(7999), executed));
    CHECK(!mayWait(milliseconds(8000), executed));
}

// Guards against a patience that holds for one target only.
TEST_CASE("callers wait for an event as their route's targets imply")
{
    CHECK(streamRoute(milliseconds(200), milliseconds(120)).eventPatience() == milliseconds(2000));
    CHECK(streamRoute(milliseconds(800), milliseconds(120)).eventPatience() == milliseconds(3200));
    CHECK(streamRoute(milliseconds(200), milliseconds(500)).eventPatience() == milliseconds(4000));
    RequestTiming timing(arrival, streamRoute(milliseconds(800), milliseconds(120)), milliseconds(5000), milliseconds(0), {});
    StreamWaitLimits limits = timing.streamWaitLimits(arrival + milliseconds(1000));
    CHECK(limits.waited == milliseconds(1000));
    CHECK(limits.patience == milliseconds(3200));
    CHECK(limits.timeLeft == milliseconds(4000));
}

// Guards against pauses that are measured wrongly, for example from the beginning of the request.
TEST_CASE("the longest pause between events is kept with its end")
{
    EventTimes events;
    CHECK(events.record(arrival) == Duration::zero());
    CHECK(events.longestPause() == Duration::zero());
    CHECK(events.record(arrival + milliseconds(90)) == milliseconds(90));
    CHECK(events.record(arrival + milliseconds(100)) == milliseconds(10));
    CHECK(events.count() == 3);
    CHECK(events.firstAt() == arrival);
    CHECK(events.lastAt() == arrival + milliseconds(100));
    CHECK(events.longestPause() == milliseconds(90));
    CHECK(events.longestPauseEndedAt() == arrival + milliseconds(90));
}

}
