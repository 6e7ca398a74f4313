#include "Placement/GroupLoadCollector.h"
#include "Core/ManualClock.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

// Two engines of one rank each, and two experts, of which each rank holds one.
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

// Guards against a sample of a part of the group, whose load would look uneven.
TEST_CASE_FIXTURE(CollectorFixture, "a sample needs a report of every member and no other")
{
    collector.observe("a", { { 0, 0 }, { 1 } });
    collector.observe("stranger", { { 0, 0 }, { 1 } });
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

// Guards against the count before a restart, or of an earlier sample, that is taken as new load.
TEST_CASE_FIXTURE(CollectorFixture, "a sample has the tokens since the last one, also after a restart of an engine")
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

// Guards against ranks in the order of the reports, which would move experts off the wrong rank.
TEST_CASE_FIXTURE(CollectorFixture, "ranks are in the order of the members, with the time of their load")
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
