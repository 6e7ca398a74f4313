#include "Forwarding/CallerAgeEstimator.h"
#include "Forwarding/ResponseTimes.h"
#include "Forwarding/WaitQueueKey.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace Damaskgrade {

namespace {

WaitQueueKey keyAt(int milliseconds, bool isLate, std::int32_t priority = 1)
{
    return { priority, isLate, 0, TimePoint(std::chrono::milliseconds(milliseconds)) };
}

}

// Guards against an overload that makes every request late because the oldest is sent first.
TEST_CASE("requests that can be on time are sent first, newest first")
{
    std::vector<WaitQueueKey> keys { keyAt(10, true), keyAt(50, false), keyAt(20, true), keyAt(60, false), keyAt(5, true, 0) };
    std::sort(keys.begin(), keys.end(), isServedBefore);
    std::vector<std::chrono::milliseconds::rep> arrivals;
    arrivals.reserve(keys.size());
    for (const WaitQueueKey& key : keys)
        arrivals.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(key.arrivedAt.time_since_epoch()).count());
    // The request with the lowest priority value is first although it is late.
    CHECK(arrivals == std::vector<std::chrono::milliseconds::rep> { 5, 60, 50, 10, 20 });
}

// Guards against a caller's retry that is treated as its first attempt. It would be queued as a request that can still
// meet the target latency, which counts from the first attempt.
TEST_CASE("the age of a caller is the difference between the longest time left on its route and its own")
{
    CallerAgeEstimator ages;
    CHECK(ages.observe("r", std::chrono::milliseconds(7000)) == std::chrono::milliseconds(0));
    CHECK(ages.observe("r", std::chrono::milliseconds(8000)) == std::chrono::milliseconds(0));
    CHECK(ages.observe("r", std::chrono::milliseconds(7100)) == std::chrono::milliseconds(900));
    CHECK(ages.observe("other", std::chrono::milliseconds(1000)) == std::chrono::milliseconds(0));
}

// Guards against an estimate that ignores slow responses or does not decrease after them.
TEST_CASE("the expected response time follows the recorded times of the service")
{
    ResponseTimes times({});
    Duration initial = times.expected("s");
    CHECK(initial == std::chrono::milliseconds(150));
    for (int i = 0; i < 100; ++i)
        times.record("s", std::chrono::milliseconds(300));
    CHECK(times.expected("s") > std::chrono::milliseconds(280));
    CHECK(times.expected("t") == initial);
    for (int i = 0; i < 200; ++i)
        times.record("s", std::chrono::milliseconds(100));
    CHECK(times.expected("s") < std::chrono::milliseconds(120));
}

}
