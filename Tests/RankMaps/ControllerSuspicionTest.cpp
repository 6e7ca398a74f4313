#include "RankMaps/ControllerSuspicion.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using Step = ControllerSuspicion::Step;
constexpr std::chrono::milliseconds answerTimeout { 300 };
constexpr std::chrono::milliseconds silenceTimeout { 800 };

struct ControllerSuspicionFixture {
    Step checkAfter(std::chrono::milliseconds time, bool canAsk = true)
    {
        clock.advance(time);
        return suspicion.check(heardAt, silenceTimeout, canAsk);
    }

    ManualClock clock;
    TimePoint heardAt { clock.now() };
    ControllerSuspicion suspicion { clock, answerTimeout };
};

}

// Guards against a group without a controller, and against one whose controller is replaced although it answers.
TEST_CASE_FIXTURE(ControllerSuspicionFixture, "a silent controller is asked, and replaced only if it does not answer")
{
    CHECK(checkAfter(std::chrono::milliseconds(700)) == Step::None);
    CHECK(checkAfter(std::chrono::milliseconds(100)) == Step::Ask);
    CHECK(checkAfter(std::chrono::milliseconds(100)) == Step::Wait);
    heardAt = clock.now();
    CHECK(checkAfter(std::chrono::milliseconds(300)) == Step::None);
    CHECK(checkAfter(std::chrono::milliseconds(600)) == Step::Ask);
    CHECK(checkAfter(std::chrono::milliseconds(300)) == Step::TakeOver);
}

// Guards against a controller that is replaced because the agent was paused after it had asked.
TEST_CASE_FIXTURE(ControllerSuspicionFixture, "an agent that was paused asks again")
{
    CHECK(checkAfter(std::chrono::seconds(5)) == Step::Ask);
    CHECK(checkAfter(std::chrono::seconds(5)) == Step::Ask);
}

// Guards against an agent that waits for a controller that it can't ask.
TEST_CASE_FIXTURE(ControllerSuspicionFixture, "a controller without a known address is not asked")
{
    CHECK(checkAfter(std::chrono::milliseconds(700), false) == Step::None);
    CHECK(checkAfter(std::chrono::milliseconds(100), false) == Step::TakeOver);
}

}
