#include "StreamCapacity/StreamSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

struct Comparison {
    StreamResults today;
    StreamResults bounded;
};

void print(const std::string& name, const StreamResults& results)
{
    const StreamCounts& all = results.all;
    std::cout << name << ": on time " << all.share(all.onTime) << ", late start " << all.share(all.lateStart) << ", late pause " << all.share(all.latePause) << ", refused " << all.share(all.refused)
              << ", worth " << all.worth() << "; served and worth by priority";
    for (const StreamCounts& counts : results.byPriority)
        std::cout << " " << counts.servedShare() << "/" << counts.worth();
    double lowest = 1;
    for (const auto& [tenant, counts] : results.byTenant)
        lowest = std::min(lowest, counts.servedShare());
    std::cout << "; lowest tenant served " << lowest << "\n";
}

Comparison compare(const std::string& name, StreamScenario scenario)
{
    Comparison comparison;
    scenario.mode = StreamCapacityMode::Off;
    comparison.today = StreamSimulation(scenario).run();
    print(name + ", today", comparison.today);
    scenario.mode = StreamCapacityMode::Auto;
    comparison.bounded = StreamSimulation(scenario).run();
    print(name + ", bounded", comparison.bounded);
    return comparison;
}

}

// Guards against a bound that refuses streams although all of them can be on time.
TEST_CASE("low load is served as before")
{
    StreamScenario scenario;
    scenario.arrivals = 55;
    Comparison comparison = compare("0.7 of the load on time", scenario);
    CHECK(comparison.bounded.all.worth() > 0.98);
}

// Guards against a group in which all streams are late because it runs too many requests.
TEST_CASE("an overload does not make the pauses of all streams late")
{
    StreamScenario scenario;
    scenario.arrivals = 103;
    Comparison comparison = compare("1.3 of the load on time", scenario);
    CHECK(comparison.today.all.share(comparison.today.all.latePause) > 0.2);
    CHECK(comparison.bounded.all.share(comparison.bounded.all.latePause) < 0.05);
    CHECK(comparison.bounded.all.worth() > comparison.today.all.worth() + 0.1);
}

// Guards against a bound that costs more than it gains where the load is as high as can be served on time.
TEST_CASE("the load that can be just served on time")
{
    StreamScenario scenario;
    scenario.arrivals = 79;
    Comparison comparison = compare("1.0 of the load on time", scenario);
    CHECK(comparison.bounded.all.worth() > comparison.today.all.worth() - 0.1);
}

// Guards against a bound that only suits one size of group, one number of entries, or one distribution of the work.
TEST_CASE("the bound helps in an overload of other groups, entries and loads")
{
    struct Case {
        std::string name;
        StreamScenario scenario;
    };
    std::vector<Case> cases;
    auto add = [&cases](const std::string& name, std::size_t ranks, std::size_t gateways, double arrivals) -> StreamScenario& {
        StreamScenario scenario;
        scenario.ranks = ranks;
        scenario.gateways = gateways;
        scenario.arrivals = arrivals;
        scenario.duration = std::chrono::seconds(20);
        cases.push_back({ name, scenario });
        return cases.back().scenario;
    };
    add("100 ranks, 33 entries", 100, 33, 340);
    add("63 ranks, 33 entries", 63, 33, 230);
    add("very uneven experts", 24, 15, 95).skew = 1.9;
    add("even experts", 24, 15, 115).skew = 1.4;
    add("one tenant with half of the demand", 24, 15, 103).firstTenantShare = 0.5;
    StreamScenario& wave = add("a wave of twice the load", 24, 15, 65);
    wave.waveFrom = 10;
    wave.waveUntil = 14;
    wave.waveFactor = 2;
    add("target latency 200 ms", 24, 15, 103).targetLatency = std::chrono::milliseconds(200);
    add("target latency 2 s", 24, 15, 103).targetLatency = std::chrono::milliseconds(2000);
    for (const Case& item : cases) {
        Comparison comparison = compare(item.name, item.scenario);
        CAPTURE(item.name);
        CHECK(comparison.bounded.all.worth() > comparison.today.all.worth());
        for (const auto& [tenant, counts] : comparison.bounded.byTenant)
            CHECK(counts.servedShare() > 0.25 * comparison.bounded.all.servedShare());
        for (std::size_t priority = 1; priority < 3; ++priority) {
            const StreamCounts& urgent = comparison.bounded.byPriority.at(priority - 1);
            const StreamCounts& other = comparison.bounded.byPriority.at(priority);
            CHECK(other.servedShare() < urgent.servedShare() + 0.05);
            CHECK(other.servedShare() > 0.25 * comparison.bounded.all.servedShare());
        }
    }
}

// Guards against a bound that is of no use for a group so small that today's selection with all slots in use is near the target.
// Known to fail, see KNOWN-RED.txt: a quarter of the streams have long pauses, because bursts of prompts are read at few ranks.
TEST_CASE("the bound helps in an overload of a group of 8 ranks" * doctest::may_fail())
{
    StreamScenario scenario;
    scenario.ranks = 8;
    scenario.gateways = 4;
    scenario.arrivals = 40;
    scenario.duration = std::chrono::seconds(20);
    Comparison comparison = compare("8 ranks, 4 entries", scenario);
    CHECK(comparison.bounded.all.worth() > comparison.today.all.worth());
}

}
