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

// Guards against an overload that makes every request late because the oldest goes first.
TEST_CASE("requests that can be on time go first, the newest of them at the front")
{
    std::vector<WaitQueueKey> keys { keyAt(10, true), keyAt(50, false), keyAt(20, true), keyAt(60, false), keyAt(5, true, 0) };
    std::sort(keys.begin(), keys.end(), isServedBefore);
    std::vector<std::chrono::milliseconds::rep> arrivals;
    arrivals.reserve(keys.size());
    for (const WaitQueueKey& key : keys)
        arrivals.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(key.arrivedAt.time_since_epoch()).count());
    // The more urgent one is first although it is late.
    CHECK(arrivals == std::vector<std::chrono::milliseconds::rep> { 5, 60, 50, 10, 20 });
}

// Guards against a repetition that is taken for a first attempt, whose answer can still be on time.
TEST_CASE("the age of a caller is what its time left falls short of the longest on its route")
{
    CallerAgeEstimator ages;
    CHECK(ages.observe("r", std::chrono::milliseconds(7000)) == std::chrono::milliseconds(0));
    CHECK(ages.observe("r", std::chrono::milliseconds(8000)) == std::chrono::milliseconds(0));
    CHECK(ages.observe("r", std::chrono::milliseconds(7100)) == std::chrono::milliseconds(900));
    CHECK(ages.observe("other", std::chrono::milliseconds(1000)) == std::chrono::milliseconds(0));
}

// Guards against an estimate that ignores slow responses, or never recovers from them.
TEST_CASE("the expected response time follows the services' times")
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
