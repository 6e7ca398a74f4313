#include "StreamCapacity/StreamSimulation.h"

#include <doctest/doctest.h>

#include <iostream>
#include <string>

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

}
