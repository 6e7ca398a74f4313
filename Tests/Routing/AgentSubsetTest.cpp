#include "Routing/AgentSubset.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace Damaskgrade {

namespace {

std::vector<SubsetAgent> makeAgents(int count, int zones, int services)
{
    std::vector<SubsetAgent> agents;
    agents.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        agents.push_back({ "agent-" + std::to_string(i), "zone-" + std::to_string(i % zones), "m-" + std::to_string(i / zones % services) });
    return agents;
}

std::size_t removedCount(const std::vector<std::string>& before, const std::vector<std::string>& after)
{
    std::vector<std::string> removed;
    std::set_difference(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(removed));
    return removed.size();
}

}

// Guards against entries that do not connect to all agents although the subset size allows it.
TEST_CASE("in a small deployment an entry connects to all agents")
{
    std::vector<SubsetAgent> agents = makeAgents(19, 3, 2);
    CHECK(AgentSubset(24, 4).select("entry-1", agents).size() == 19);
}

// Guards against an entry that cannot serve calls to a service with few instances.
TEST_CASE("each service gets the minimum number of agents")
{
    std::vector<SubsetAgent> agents = makeAgents(300, 3, 1);
    for (int i = 0; i < 6; ++i)
        agents.push_back({ "booking-" + std::to_string(i), "zone-" + std::to_string(i % 3), "bookings" });
    for (int entry = 0; entry < 20; ++entry) {
        std::vector<std::string> names = AgentSubset(24, 4).select("entry-" + std::to_string(entry), agents);
        CHECK(std::count_if(names.begin(), names.end(), [](const std::string& name) { return name[0] == 'b'; }) == 4);
    }
}

// Guards against many connection changes whenever a single agent is added or removed.
TEST_CASE("adding or removing an agent changes at most one connection of an entry")
{
    bool propertyHolds = rc::check([] {
        int zones = *rc::gen::inRange(1, 6);
        std::vector<SubsetAgent> agents = makeAgents(*rc::gen::inRange(60, 200), zones, 1);
        AgentSubset subset(24, 4);
        std::string entry = "entry-" + std::to_string(*rc::gen::inRange(0, 1000));
        std::vector<std::string> before = subset.select(entry, agents);
        std::size_t gone = *rc::gen::inRange<std::size_t>(0, agents.size());
        bool wasSelected = std::binary_search(before.begin(), before.end(), agents[gone].name);
        agents.erase(agents.begin() + static_cast<std::ptrdiff_t>(gone));
        std::vector<std::string> after = subset.select(entry, agents);
        RC_ASSERT(before.size() == 24u);
        RC_ASSERT(removedCount(before, after) == (wasSelected ? 1u : 0u));
        RC_ASSERT(removedCount(after, before) == (wasSelected ? 1u : 0u));
    });
    CHECK(propertyHolds);
}

// Guards against an entry that loses all its agents of a service in an outage of one zone, and against agents with too
// many connections.
TEST_CASE("at the target size, connections are spread over zones, services and agents")
{
    std::vector<SubsetAgent> agents = makeAgents(600, 6, 3);
    AgentSubset subset(24, 4);
    std::map<std::string, int> connections;
    for (int entry = 0; entry < 340; ++entry) {
        std::map<std::string, int> zones;
        std::map<std::string, int> services;
        for (const std::string& name : subset.select("entry-" + std::to_string(entry), agents)) {
            const SubsetAgent& agent = agents[static_cast<std::size_t>(std::stoi(name.substr(6)))];
            ++connections[name];
            ++zones[agent.availabilityZone];
            ++services[agent.serves];
        }
        CHECK(services.size() == 3);
        CHECK(zones.size() >= 4);
        for (const auto& [zone, count] : zones)
            CHECK(count <= 6);
    }
    CHECK(connections.size() == 600);
    for (const auto& [name, count] : connections)
        CHECK(count <= 34);
}

}
