#include "StreamCapacity/PassTimeModel.h"

#include "Core/ManualClock.h"
#include "StreamCapacity/StreamSimulation.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds target { 120 };

void recordPauses(ManualClock& clock, PassTimeModel& model, const char* server, double requests, std::chrono::milliseconds pause)
{
    for (int i = 0; i < 2000; ++i) {
        clock.advance(std::chrono::milliseconds(5));
        model.recordPause(server, requests, pause);
    }
}

}

// Guards against a bound that is far from what the published figures imply before anything has been measured.
TEST_CASE("the published figures give a bound within the slots")
{
    ManualClock clock;
    PassTimeModel model(clock, publishedEngine(), {});
    CHECK(model.maxRequests("a", target) > 7);
    CHECK(model.maxRequests("a", target) < 12);
    CHECK(model.maxRequests("a", std::chrono::milliseconds(60)) < 4);
    // No number of requests is within a target that is shorter than the steps.
    CHECK(model.maxRequests("a", std::chrono::milliseconds(30)) <= 0);
}

// Guards against an estimate that keeps to published figures that do not hold.
TEST_CASE("measured pauses lower and raise the bound")
{
    ManualClock clock;
    PassTimeModel model(clock, publishedEngine(), {});
    double published = model.maxRequests("a", target);
    recordPauses(clock, model, "a", 6, std::chrono::milliseconds(110));
    CHECK(model.maxRequests("a", target) < published - 1);
    CHECK(model.expectedPass("a", 6) > std::chrono::milliseconds(105));
    CHECK(model.expectedPass("a", 6) < std::chrono::milliseconds(115));
    recordPauses(clock, model, "a", 6, std::chrono::milliseconds(50));
    recordPauses(clock, model, "a", 6, std::chrono::milliseconds(50));
    CHECK(model.maxRequests("a", target) > published + 1);
}

// Guards against one slow server that lowers the bound of all others, and against a server that is judged by the others only.
TEST_CASE("the correction for a server differs from that for the service")
{
    ManualClock clock;
    PassTimeModel model(clock, publishedEngine(), {});
    for (int i = 0; i < 2000; ++i) {
        clock.advance(std::chrono::milliseconds(5));
        model.recordPause("slow", 6, std::chrono::milliseconds(100));
        for (const char* server : { "a", "b", "c", "d", "e", "f", "g" })
            model.recordPause(server, 6, std::chrono::milliseconds(70));
    }
    CHECK(model.maxRequests("slow", target) < model.maxRequests("a", target) - 3);
    CHECK(model.maxRequests("new", target) < model.maxRequests("a", target));
    CHECK(model.maxRequests("new", target) > model.maxRequests("slow", target));
}

// Guards against a group that stands still for a moment and has its bound lowered for a long time.
TEST_CASE("very long pauses are not learned from, and what was measured long ago is forgotten")
{
    ManualClock clock;
    PassTimeModel model(clock, publishedEngine(), {});
    double published = model.maxRequests("a", target);
    recordPauses(clock, model, "a", 6, std::chrono::milliseconds(900));
    CHECK(model.maxRequests("a", target) == doctest::Approx(published));
    recordPauses(clock, model, "a", 6, std::chrono::milliseconds(110));
    clock.advance(std::chrono::minutes(10));
    model.removeExpired();
    CHECK(model.maxRequests("a", target) == doctest::Approx(published));
}

// Guards against a deviation that is ignored: the same mean with more variation must give a lower bound.
TEST_CASE("variation lowers the bound")
{
    ManualClock clock;
    PassTimeModel steady(clock, publishedEngine(), {});
    PassTimeModel varying(clock, publishedEngine(), {});
    for (int i = 0; i < 2000; ++i) {
        clock.advance(std::chrono::milliseconds(5));
        steady.recordPause("a", 6, std::chrono::milliseconds(80));
        varying.recordPause("a", 6, std::chrono::milliseconds(i % 2 == 0 ? 65 : 95));
    }
    CHECK(varying.maxRequests("a", target) < steady.maxRequests("a", target) - 2);
}

}
