#include "Core/Error.h"
#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Placement/MapSearch.h"
#include "Placement/PlacementBaselines.h"
#include "Placement/PlacementPolicy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

namespace Damaskgrade {

namespace {

constexpr std::size_t rankCount = 4;
constexpr std::size_t expertCount = 12;
constexpr std::size_t slots = 4;

struct PlacementFixture {
    void observe(const std::vector<double>& tokens, const std::vector<double>& slowness = std::vector<double>(rankCount, 1))
    {
        clock.advance(std::chrono::seconds(10));
        ExpertLoadSample sample { clock.now(), tokens, current.rankLoads(tokens), current };
        for (std::size_t rank = 0; rank < rankCount; ++rank)
            sample.rankSeconds[rank] *= slowness[rank];
        estimate.observe(sample);
    }

    std::vector<double> highLoadExperts(std::size_t first, double factor) const
    {
        std::vector<double> tokens(expertCount, 10);
        tokens[first] *= factor;
        tokens[first + 1] *= factor;
        return tokens;
    }

    PlacementPolicySettings settings() const
    {
        PlacementPolicySettings result;
        result.slotsPerRank = slots;
        return result;
    }

    ManualClock clock;
    ExpertMap current { ExpertMap::contiguous(rankCount, expertCount) };
    ExpertLoadEstimate estimate { rankCount, expertCount, ExpertLoadSettings() };
};

}

// Guards against a change that costs more than it saves.
TEST_CASE_FIXTURE(PlacementFixture, "an even load causes no change")
{
    observe(std::vector<double>(expertCount, 10));
    PlacementPolicy policy(settings());
    CHECK(!policy.decide(clock.now(), current, estimate));
}

// Guards against a high load that stays on one rank, and against a map that exceeds the memory of a rank.
TEST_CASE_FIXTURE(PlacementFixture, "an expert with a high load is replicated within the memory limit and with few moves")
{
    observe(highLoadExperts(0, 8));
    PlacementPolicy policy(settings());
    std::optional<PlacementDecision> decision = policy.decide(clock.now(), current, estimate);
    REQUIRE(decision);
    CHECK(decision->skewAfter < 0.6 * decision->skewBefore);
    CHECK(decision->map.maxExpertsPerRank() <= slots);
    CHECK(decision->map.replicas(0).size() + decision->map.replicas(1).size() > 2);
    CHECK(decision->map.version() == current.version() + 1);
}

// Guards against weights that have no effect on the decision.
TEST_CASE_FIXTURE(PlacementFixture, "the weights change the decision")
{
    observe(highLoadExperts(0, 2));
    PlacementPolicySettings costSensitive = settings();
    costSensitive.horizon = std::chrono::seconds(60);
    costSensitive.costWeight = 16;
    PlacementPolicySettings skewSensitive = costSensitive;
    skewSensitive.costWeight = 1;
    skewSensitive.skewWeight = 16;
    CHECK(!PlacementPolicy(costSensitive).decide(clock.now(), current, estimate));
    CHECK(PlacementPolicy(skewSensitive).decide(clock.now(), current, estimate));
}

// Guards against a slow rank that keeps its share of the load, so that the group waits for it in each step.
TEST_CASE_FIXTURE(PlacementFixture, "a straggler rank is detected and gets less load")
{
    observe(std::vector<double>(expertCount, 10), { 1, 1, 2, 1 });
    CHECK(estimate.isStraggler(2));
    CHECK(!estimate.isStraggler(1));
    PlacementPolicy policy(settings());
    std::optional<PlacementDecision> decision = policy.decide(clock.now(), current, estimate);
    REQUIRE(decision);
    std::vector<double> loads = decision->map.rankLoads(std::vector<double>(expertCount, 1));
    CHECK(loads[2] < loads[0]);
    CHECK(loads[2] < 2.5);
}

// Guards against moving experts because of noise in the step times.
TEST_CASE_FIXTURE(PlacementFixture, "small differences between ranks make no rank a straggler")
{
    observe(std::vector<double>(expertCount, 10), { 1.1, 1, 0.95, 1 });
    CHECK(estimate.slowness() == std::vector<double>(rankCount, 1));
}

// Guards against moving experts for gains as small as the noise in the reports.
TEST_CASE_FIXTURE(PlacementFixture, "a gain within the noise causes no change")
{
    std::vector<double> loads(expertCount, 10);
    // A second replica of expert 2, which has little load, reduces the skew by less than 1%.
    loads[1] = 20;
    loads[2] = 0.5;
    observe(loads);
    PlacementPolicySettings highSkewWeight = settings();
    highSkewWeight.skewWeight = 100;
    CHECK(!PlacementPolicy(highSkewWeight).decide(clock.now(), current, estimate));
    highSkewWeight.minimumGain = 0;
    CHECK(PlacementPolicy(highSkewWeight).decide(clock.now(), current, estimate));
}

// Guards against moving the same experts repeatedly when the load oscillates.
TEST_CASE_FIXTURE(PlacementFixture, "an oscillating load causes fewer changes than oscillations")
{
    PlacementPolicySettings policySettings = settings();
    policySettings.costWeight = 8;
    policySettings.horizon = std::chrono::seconds(120);
    PlacementPolicy policy(policySettings);
    int changes = 0;
    for (int period = 0; period < 20; ++period) {
        for (int sample = 0; sample < 6; ++sample) {
            observe(highLoadExperts(period % 2 == 0 ? 0 : 6, 4));
            std::optional<PlacementDecision> decision = policy.decide(clock.now(), current, estimate);
            if (!decision)
                continue;
            current = decision->map;
            ++changes;
        }
    }
    CHECK(changes >= 1);
    CHECK(changes <= 5);
}

// Guards against an estimate that reverts to older load when reports arrive out of order.
TEST_CASE_FIXTURE(PlacementFixture, "an older sample is ignored")
{
    observe(highLoadExperts(0, 8));
    std::vector<double> before = estimate.forecast();
    estimate.observe({ clock.now() - std::chrono::seconds(5), std::vector<double>(expertCount, 1), std::vector<double>(rankCount, 1), current });
    CHECK(estimate.forecast() == before);
}

// Guards against an encoding that changes a map, a wrong count of replicas to load, and invalid maps that are accepted.
TEST_CASE("maps are decoded as they were encoded and their difference is counted")
{
    ExpertMap from = ExpertMap::contiguous(2, 4);
    ExpertMap to(2, 2, { { 0 }, { 0, 1 }, { 1 }, { 0 } });
    CHECK(replicasToLoad(from, to) == 2);
    CHECK(bytesToLoad(from, to, 100) == 200);
    ExpertMap decoded = decodeExpertMap(encodeExpertMap(to));
    CHECK(replicasToLoad(to, decoded) == 0);
    CHECK(decoded.version() == 2);
    CHECK_THROWS_AS(decodeExpertMap("{}"), Error);
    CHECK_THROWS_AS(ExpertMap(1, 2, { { 2 } }), Error);
    CHECK_THROWS_AS(ExpertMap(1, 2, { {} }), Error);
}

// Guards against maps that lose an expert, exceed the memory of a rank, or increase the skew.
TEST_CASE("any load leads to a valid map without a higher skew")
{
    CHECK(rc::check("valid maps", [] {
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<double> loads;
        for (std::size_t expert = 0; expert < expertCount; ++expert)
            loads.push_back(random.fraction() < 0.2 ? 0 : 1 / (0.01 + random.fraction()));
        loads[0] += 1;
        std::vector<double> slowness(rankCount, 1);
        slowness[random.index(rankCount)] = 1 + random.fraction();
        ExpertMap from = ExpertMap::contiguous(rankCount, expertCount);
        for (const ExpertMap& map : { improveGreedily(from, loads, slowness, slots), packFromScratch(2, rankCount, loads, slowness, slots) }) {
            RC_ASSERT(map.expertCount() == expertCount);
            RC_ASSERT(map.maxExpertsPerRank() <= slots);
            std::vector<double> rankLoads = map.rankLoads(loads);
            double sum = std::accumulate(rankLoads.begin(), rankLoads.end(), 0.0);
            RC_ASSERT(sum > 0.999 * std::accumulate(loads.begin(), loads.end(), 0.0));
        }
        MapSearch search(from, loads, slowness, slots);
        double before = search.skew();
        while (search.improve() != 0) { }
        RC_ASSERT(search.skew() <= before + 1e-9);
    }));
}

}
