#include "Placement/GroupLoadCollector.h"
#include "Core/ManualClock.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

// Two engines with one rank each, and two experts, one on each rank.
struct CollectorFixture {
    ExpertLoadSample sample()
    {
        clock.advance(std::chrono::seconds(1));
        return collector.takeSample(clock.now(), map);
    }

    ManualClock clock;
    ExpertMap map { ExpertMap::contiguous(2, 2) };
    GroupLoadCollector collector { { "a", "b" } };
};

}

// Guards against a sample from only a part of the group, which would show an uneven load.
TEST_CASE_FIXTURE(CollectorFixture, "a sample needs a report of every member and ignores other reports")
{
    collector.observe("a", { { 0, 0 }, { 1 } });
    collector.observe("unknown", { { 0, 0 }, { 1 } });
    CHECK_FALSE(collector.isComplete());
    collector.observe("b", { { 0, 0, 0 }, { 1 } });
    CHECK_FALSE(collector.isComplete());
    collector.observe("b", { { 0, 0 }, { 1 } });
    CHECK(collector.isComplete());
    CHECK(collector.rankCount() == 2);
    CHECK(collector.expertCount() == 2);
    sample();
    CHECK_FALSE(collector.isComplete());
}

// Guards against tokens from before a restart or from an earlier sample that are counted as new load.
TEST_CASE_FIXTURE(CollectorFixture, "a sample contains the tokens since the last one, also after an engine restart")
{
    collector.observe("a", { { 100, 50 }, { 1 } });
    collector.observe("b", { { 7, 0 }, { 1 } });
    CHECK(sample().expertTokens == std::vector<double> { 0, 0 });
    collector.observe("a", { { 110, 50 }, { 1 } });
    collector.observe("a", { { 130, 51 }, { 1 } });
    collector.observe("b", { { 2, 1 }, { 1 } });
    CHECK(sample().expertTokens == std::vector<double> { 32, 2 });
    collector.observe("a", { { 130, 51 }, { 1 } });
    collector.observe("b", { { 2, 1 }, { 1 } });
    CHECK(sample().expertTokens == std::vector<double> { 0, 0 });
}

// Guards against ranks in the order of the reports, which would move experts away from the wrong rank.
TEST_CASE_FIXTURE(CollectorFixture, "ranks are in the order of the members, with the compute time of their load")
{
    for (std::uint64_t tokens : { 0, 10 }) {
        collector.observe("b", { { 0, tokens }, { 3 } });
        collector.observe("a", { { tokens, 0 }, { 2 } });
        if (tokens == 0)
            sample();
    }
    CHECK(sample().rankSeconds == std::vector<double> { 20, 30 });
}

}
