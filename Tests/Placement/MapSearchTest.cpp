#include "Placement/MapSearch.h"

#include "Core/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Damaskgrade {

namespace {

constexpr std::uint32_t rankCount = 6;
constexpr std::uint32_t expertCount = 18;
constexpr std::size_t slots = 4;

double penalty(const std::vector<double>& rankTimes)
{
    double mean = std::accumulate(rankTimes.begin(), rankTimes.end(), 0.0) / static_cast<double>(rankTimes.size());
    double sum = 0;
    for (double time : rankTimes)
        sum += std::pow(time / mean, 8);
    return sum;
}

// Experts by rank.
using Assignment = std::vector<std::vector<std::uint32_t>>;

Assignment assignmentOf(const ExpertMap& map)
{
    Assignment assignment(rankCount);
    for (std::uint32_t expert = 0; expert < expertCount; ++expert) {
        for (RankIndex rank : map.replicas(expert))
            assignment[rank].push_back(expert);
    }
    return assignment;
}

bool contains(const std::vector<std::uint32_t>& experts, std::uint32_t expert)
{
    return std::find(experts.begin(), experts.end(), expert) != experts.end();
}

// Returns the penalty of an assignment, or a value above that of any valid one.
double penaltyOf(const Assignment& assignment, const std::vector<double>& loads)
{
    constexpr double invalid = 1e100;
    std::vector<std::vector<RankIndex>> replicas(expertCount);
    for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
        if (assignment[rank].size() > slots)
            return invalid;
        for (std::uint32_t expert : assignment[rank])
            replicas[expert].push_back(rank);
    }
    for (const std::vector<RankIndex>& ranks : replicas) {
        if (ranks.empty())
            return invalid;
    }
    return penalty(ExpertMap(0, rankCount, replicas).rankLoads(loads));
}

// Returns the lowest penalty that a copy, a move or a replacement of one expert of the slowest rank leads to.
double lowestPenaltyOfOneLoad(const ExpertMap& map, const std::vector<double>& loads)
{
    std::vector<double> times = map.rankLoads(loads);
    auto slowest = static_cast<std::uint32_t>(std::max_element(times.begin(), times.end()) - times.begin());
    Assignment before = assignmentOf(map);
    double lowest = penaltyOf(before, loads);
    for (std::uint32_t expert : before[slowest]) {
        for (std::uint32_t target = 0; target < rankCount; ++target) {
            if (contains(before[target], expert))
                continue;
            Assignment copied = before;
            copied[target].push_back(expert);
            Assignment moved = copied;
            moved[slowest].erase(std::find(moved[slowest].begin(), moved[slowest].end(), expert));
            lowest = std::min({ lowest, penaltyOf(copied, loads), penaltyOf(moved, loads) });
            // The search replaces an expert only where no slot is free.
            if (before[target].size() < slots)
                continue;
            for (std::uint32_t displaced : before[target]) {
                for (Assignment replaced : { copied, moved }) {
                    replaced[target].erase(std::find(replaced[target].begin(), replaced[target].end(), displaced));
                    lowest = std::min(lowest, penaltyOf(replaced, loads));
                }
            }
        }
    }
    return lowest;
}

}

// Guards against a search that evaluates a candidate by other rank times than those that it leads to.
TEST_CASE("each step leads to the lowest penalty of all changes that load one replica, or swaps for more")
{
    int compared = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        std::vector<double> loads;
        for (std::uint32_t expert = 0; expert < expertCount; ++expert)
            loads.push_back(1 / (0.05 + random.fraction()));
        MapSearch search(ExpertMap::contiguous(rankCount, expertCount), loads, std::vector<double>(rankCount, 1), slots);
        for (int step = 0; step < 8; ++step) {
            ExpertMap before = search.map(0);
            double lowest = lowestPenaltyOfOneLoad(before, loads);
            std::size_t loaded = search.improve();
            if (loaded == 0)
                break;
            double after = penalty(search.map(0).rankLoads(loads));
            CHECK(search.skew() == doctest::Approx(skewOf(search.map(0).rankLoads(loads))));
            // A swap loads two replicas and must gain more than twice as much.
            double gain = (penalty(before.rankLoads(loads)) - after) / static_cast<double>(loaded);
            CHECK(gain >= (penalty(before.rankLoads(loads)) - lowest) * (1 - 1e-9));
            ++compared;
        }
    }
    CHECK(compared > 200);
}

}
