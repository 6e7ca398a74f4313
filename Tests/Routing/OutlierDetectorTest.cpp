#include "Routing/OutlierDetector.h"
#include "Core/ManualClock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

namespace Damaskgrade {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct OutlierFixture {
    explicit OutlierFixture(int servers = 8)
        : detector(clock, OutlierSettings())
    {
        for (int i = 0; i < servers; ++i)
            names.push_back("engine-" + std::to_string(i));
        for (const std::string& name : names)
            detector.add(name, "m");
    }

    void fail(const std::string& name, int count)
    {
        for (int i = 0; i < count; ++i)
            detector.callFailed(name);
    }

    // Simulates an evaluation interval with 20 calls at each server. The time to first token and the number of failures
    // of the first server are given.
    void interval(milliseconds firstTime, int firstFailures = 0)
    {
        for (const std::string& name : names) {
            bool isFirst = name == names.front();
            for (int call = 0; call < 20; ++call) {
                // Avoid consecutive failures, which would eject the server on their own.
                if (isFirst && firstFailures > 0 && call % 20 < firstFailures * 2 && call % 2 == 0)
                    detector.callFailed(name);
                else
                    detector.callSucceeded(name, isFirst ? firstTime : milliseconds(100));
            }
        }
        clock.advance(seconds(2));
        detector.evaluate();
    }

    ManualClock clock;
    OutlierDetector detector;
    std::vector<std::string> names;
};

}

// Guards against sending more calls to a server at which every call fails.
TEST_CASE("a server is ejected after consecutive failures, but not if there was a success between them")
{
    OutlierFixture fixture;
    fixture.fail("engine-0", 4);
    fixture.detector.callSucceeded("engine-0", milliseconds(1));
    fixture.fail("engine-0", 4);
    CHECK_FALSE(fixture.detector.isEjected("engine-0"));
    fixture.fail("engine-0", 1);
    CHECK(fixture.detector.isEjected("engine-0"));
}

// Guards against a server that responds, but fails often or is much slower than its peers.
TEST_CASE("a server that fails more or is slower than its peers is ejected")
{
    OutlierFixture failing;
    failing.interval(milliseconds(100), 8);
    CHECK(failing.detector.isEjected("engine-0"));
    OutlierFixture slow;
    slow.interval(milliseconds(900));
    CHECK(slow.detector.isEjected("engine-0"));
    OutlierFixture usual;
    usual.interval(milliseconds(200), 2);
    CHECK(usual.detector.ejectedCount() == 0);
}

// Guards against ejection after comparison with a single peer, which may itself be the outlier.
TEST_CASE("no server is ejected as an outlier if there are too few peers")
{
    OutlierFixture fixture(2);
    fixture.interval(milliseconds(5000), 8);
    CHECK(fixture.detector.ejectedCount() == 0);
}

// Guards against a flapping server that gets calls again after each short ejection.
TEST_CASE("each consecutive ejection lasts longer")
{
    OutlierFixture fixture;
    fixture.fail("engine-0", 5);
    fixture.clock.advance(milliseconds(5001));
    fixture.detector.evaluate();
    CHECK_FALSE(fixture.detector.isEjected("engine-0"));
    fixture.fail("engine-0", 5);
    fixture.clock.advance(milliseconds(5001));
    fixture.detector.evaluate();
    CHECK(fixture.detector.isEjected("engine-0"));
    fixture.clock.advance(seconds(5));
    fixture.detector.evaluate();
    CHECK_FALSE(fixture.detector.isEjected("engine-0"));
}

// Guards against long ejections because of failures long ago.
TEST_CASE("after a long time in service the next ejection has the base duration")
{
    OutlierFixture fixture;
    fixture.fail("engine-0", 5);
    fixture.clock.advance(seconds(120));
    fixture.detector.evaluate();
    fixture.fail("engine-0", 5);
    fixture.clock.advance(milliseconds(5001));
    CHECK_FALSE(fixture.detector.isEjected("engine-0"));
}

// Guards against overloading a server whose ejection has just ended or whose zone has just returned.
TEST_CASE("the share of a returning server rises gradually")
{
    OutlierFixture fixture;
    fixture.clock.advance(seconds(10));
    fixture.detector.remove("engine-0");
    fixture.detector.add("engine-0", "m");
    CHECK(fixture.detector.admissionShare("engine-0") == doctest::Approx(0.1));
    fixture.clock.advance(seconds(5));
    CHECK(fixture.detector.admissionShare("engine-0") == doctest::Approx(0.55));
    fixture.clock.advance(seconds(5));
    CHECK(fixture.detector.admissionShare("engine-0") == 1);
    CHECK(fixture.detector.admissionShare("engine-1") == 1);
    fixture.fail("engine-1", 5);
    fixture.clock.advance(milliseconds(5001));
    CHECK(fixture.detector.admissionShare("engine-1") < 0.2);
}

// Guards against ejecting so many servers that the remaining ones are overloaded, for any sequence of failures.
TEST_CASE("the ejected share does not exceed the panic threshold")
{
    bool propertyHolds = rc::check([] {
        int servers = *rc::gen::inRange(1, 12);
        OutlierFixture fixture(servers);
        int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            const std::string& name = *rc::gen::elementOf(fixture.names);
            fixture.fail(name, *rc::gen::inRange(0, 6));
            fixture.clock.advance(milliseconds(*rc::gen::inRange(0, 500)));
            fixture.detector.evaluate();
            RC_ASSERT(fixture.detector.ejectedCount() * 2 <= static_cast<std::size_t>(servers));
        }
    });
    CHECK(propertyHolds);
}

}
