#include "StreamCapacity/StreamWaitPolicy.h"

#include <doctest/doctest.h>

#include <set>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

}

// Guards against a late stream that waits in vain, or until its caller has cancelled it.
TEST_CASE("a late stream waits only while room is expected before its caller cancels it")
{
    StreamWaitPolicy policy({});
    CHECK(policy.decide(true, milliseconds(300), milliseconds(500), 0).mayWait);
    CHECK(policy.decide(true, milliseconds(1200), milliseconds(500), 0).mayWait);
    CHECK(!policy.decide(true, milliseconds(1201), milliseconds(500), 0).mayWait);
    CHECK(!policy.decide(true, milliseconds(0), std::nullopt, 0).mayWait);
    CHECK(policy.decide(false, milliseconds(300), std::nullopt, 0).mayWait);
    CHECK(!policy.decide(false, milliseconds(1700), milliseconds(1), 0).mayWait);
}

// Guards against refused callers that all come back at once, too early, or not at all because the time is too long.
TEST_CASE("refused callers are told when room is expected, at different times")
{
    StreamWaitPolicy policy({});
    CHECK(policy.decide(true, milliseconds(0), milliseconds(100), 0).retryAfter == milliseconds(700));
    CHECK(policy.decide(true, milliseconds(0), milliseconds(1000), 0).retryAfter == milliseconds(1000));
    CHECK(policy.decide(true, milliseconds(0), std::nullopt, 0).retryAfter == milliseconds(2000));
    std::set<milliseconds> times;
    for (std::uint64_t number = 0; number < 16; ++number) {
        milliseconds time = policy.decide(true, milliseconds(0), milliseconds(60000), number).retryAfter;
        CHECK(time >= milliseconds(2000));
        CHECK(time <= milliseconds(2500));
        times.insert(time);
    }
    CHECK(times.size() == 16);
}

}
