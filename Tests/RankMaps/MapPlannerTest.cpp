#include "RankMaps/MapPlanner.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace Damaskgrade {

namespace {

constexpr ExpertLayout layout { 8, 2, 32, 5, 2 };

// Returns the experts of a rank in the map that a group starts with: the experts are assigned to the ranks in turn.
RankExperts startingExperts(std::uint32_t rank)
{
    RankExperts experts(layout.sets);
    for (std::vector<std::uint32_t>& set : experts) {
        for (std::uint32_t expert = rank; expert < layout.expertsPerSet; expert += layout.ranks)
            set.push_back(expert);
    }
    return experts;
}

// Returns the counts of one rank, in which three experts of each set are used far more often than the others.
std::vector<double> skewedCounts()
{
    std::vector<double> counts;
    for (std::uint32_t set = 0; set < layout.sets; ++set) {
        for (std::uint32_t expert = 0; expert < layout.expertsPerSet; ++expert)
            counts.push_back(expert < 3 ? 20000 : 1000);
    }
    return counts;
}

}

// Guards against maps that engines refuse: an expert without a rank, too many experts on a rank, or too many new experts
// on a rank.
TEST_CASE("a plan reduces the skew within the slots of each rank and the loads allowed in one change")
{
    ManualClock clock;
    MapPlanner planner(clock, layout, MapPlannerSettings {});
    for (std::uint32_t rank = 0; rank < layout.ranks; ++rank) {
        planner.setExperts(rank, 0, startingExperts(rank));
        planner.addCounts(skewedCounts());
    }
    REQUIRE(planner.hasMap(0));
    std::optional<MapPlan> plan = planner.plan(0, 1);
    REQUIRE(plan);
    CHECK(plan->skewAfter < plan->skewBefore * 0.6);
    for (std::uint32_t set = 0; set < layout.sets; ++set) {
        std::set<std::uint32_t> placed;
        for (std::uint32_t rank = 0; rank < layout.ranks; ++rank) {
            const std::vector<std::uint32_t>& experts = plan->map[set][rank];
            CHECK(experts.size() <= layout.slotsPerRank);
            std::vector<std::uint32_t> before = startingExperts(rank)[set];
            auto isNew = [&before](std::uint32_t expert) { return std::find(before.begin(), before.end(), expert) == before.end(); };
            CHECK(std::count_if(experts.begin(), experts.end(), isNew) <= layout.spareSlots);
            placed.insert(experts.begin(), experts.end());
        }
        CHECK(placed.size() == layout.expertsPerSet);
    }
}

// Guards against a change that an engine refuses because it would have to load too many experts of a set.
TEST_CASE("a rank loads no more experts of a set than it has spare slots")
{
    // Three heavily used experts are on the first of two ranks, and the second rank has free slots for more than one.
    constexpr ExpertLayout twoRanks { 2, 1, 6, 6, 1 };
    ManualClock clock;
    MapPlannerSettings settings;
    settings.gainPerLoadOfAllRanks = 0;
    MapPlanner planner(clock, twoRanks, settings);
    planner.setExperts(0, 0, { { 0, 2, 4 } });
    planner.setExperts(1, 0, { { 1, 3, 5 } });
    planner.addCounts({ 50000, 1000, 50000, 1000, 50000, 1000 });
    std::optional<MapPlan> plan = planner.plan(0, 1);
    REQUIRE(plan);
    const std::vector<std::uint32_t>& second = plan->map[0][1];
    CHECK(std::count_if(second.begin(), second.end(), [](std::uint32_t expert) { return expert % 2 == 0; }) == 1);
}

// Guards against changes whose cost is higher than their gain.
TEST_CASE("no change is planned for an even load, nor for a small gain while slots are free")
{
    ManualClock clock;
    MapPlanner planner(clock, layout, MapPlannerSettings {});
    std::vector<double> even(static_cast<std::size_t>(layout.sets) * layout.expertsPerSet, 5000);
    for (std::uint32_t rank = 0; rank < layout.ranks; ++rank) {
        planner.setExperts(rank, 0, startingExperts(rank));
        planner.addCounts(even);
    }
    CHECK(!planner.plan(0, 1));
    std::vector<double> slight = even;
    slight[0] = 13000;
    for (std::uint32_t rank = 0; rank < layout.ranks; ++rank)
        planner.addCounts(slight);
    CHECK(planner.plan(0, 1));
    CHECK(!planner.plan(0, 0.1));
}

// Guards against plans that are based on a map of another version.
TEST_CASE("nothing is planned for a map that is not known")
{
    ManualClock clock;
    MapPlanner planner(clock, layout, MapPlannerSettings {});
    for (std::uint32_t rank = 0; rank < layout.ranks; ++rank) {
        planner.setExperts(rank, 0, startingExperts(rank));
        planner.addCounts(skewedCounts());
    }
    CHECK(!planner.plan(7, 1));
}

}
