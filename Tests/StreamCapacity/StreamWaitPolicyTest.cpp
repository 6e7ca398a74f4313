#include "StreamCapacity/StreamWaitPolicy.h"

#include <doctest/doctest.h>

#include <optional>
#include <set>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

}

// Guards against a late stream that waits in vain, or until its caller has cancelled it.
TEST_CASE("a late stream waits only while room is expected before its caller cancels it")
{
    StreamWaitPolicy policy({});
    auto mayWait = [&policy](bool isLate, milliseconds waited, std::optional<Duration> room, milliseconds patience = milliseconds(2000)) {
        return policy.decide(isLate, { waited, patience, milliseconds(8000) }, room, milliseconds(300), 0).mayWait;
    };
    CHECK(mayWait(true, milliseconds(300), milliseconds(500)));
    CHECK(mayWait(true, milliseconds(1200), milliseconds(500)));
    CHECK(!mayWait(true, milliseconds(1201), milliseconds(500)));
    CHECK(!mayWait(true, milliseconds(0), std::nullopt));
    CHECK(mayWait(false, milliseconds(300), std::nullopt));
    CHECK(!mayWait(false, milliseconds(1700), milliseconds(1)));
    // The callers of a route with a target of two seconds wait for eight.
    CHECK(mayWait(true, milliseconds(6000), milliseconds(500), milliseconds(8000)));
    CHECK(!mayWait(true, milliseconds(7300), milliseconds(500), milliseconds(8000)));
}

// Guards against refused callers that all come back at once, too early, or not at all because the time is too long.
TEST_CASE("refused callers are told when room is expected, at different times")
{
    StreamWaitPolicy policy({});
    auto retryAfter = [&policy](std::optional<Duration> room, std::uint64_t number, milliseconds timeLeft = milliseconds(7500)) {
        return policy.decide(true, { milliseconds(0), milliseconds(2000), timeLeft }, room, milliseconds(300), number).retryAfter;
    };
    CHECK(retryAfter(milliseconds(100), 0) == milliseconds(700));
    CHECK(retryAfter(milliseconds(1000), 0) == milliseconds(1000));
    CHECK(retryAfter(std::nullopt, 0) == milliseconds(2000));
    std::set<milliseconds> times;
    for (std::uint64_t number = 0; number < 16; ++number) {
        milliseconds time = retryAfter(milliseconds(60000), number);
        CHECK(time >= milliseconds(2000));
        CHECK(time <= milliseconds(2500));
        times.insert(time);
    }
    CHECK(times.size() == 16);
    // A third of the time left is less than the shortest time.
    CHECK(retryAfter(std::nullopt, 0, milliseconds(1500)) == milliseconds(700));
    CHECK(retryAfter(std::nullopt, 0, milliseconds(30000)) == milliseconds(8000));
}

}
