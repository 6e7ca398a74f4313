#include "Core/Random.h"
#include "Measure.h"
#include "Routing/AgentSubset.h"
#include "Sections.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr int zones = 6;
constexpr int models = 3;
constexpr std::size_t minPerService = 4;
// Concurrent calls at R25: 11,000 calls/s of 218 tokens at 27 ms.
constexpr int concurrentCallsPerEntry = 191;

std::string zoneOf(int number)
{
    return "zone-" + std::to_string(number % zones);
}

std::vector<SubsetAgent> makeAgents()
{
    std::vector<SubsetAgent> agents;
    agents.reserve(targetAgents);
    for (int number = 0; number < targetAgents; ++number)
        agents.push_back({ "agent-" + std::to_string(1000 + number), zoneOf(number), "model-" + std::to_string(number / zones % models) });
    return agents;
}

using Subsets = std::vector<std::vector<std::string>>;

Subsets selectAllSubsets(std::size_t size, const std::vector<SubsetAgent>& agents)
{
    AgentSubset subset(size, minPerService);
    Subsets subsets;
    subsets.reserve(targetEntries);
    for (int entry = 0; entry < targetEntries; ++entry)
        subsets.push_back(subset.select("entry-" + std::to_string(1000 + entry), agents));
    return subsets;
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

// Returns the calls of each agent. Each entry in turn places one call on the less loaded of two random agents of its
// subset. The current load is known to all entries.
std::vector<double> placeCalls(const Subsets& subsets, const std::vector<SubsetAgent>& agents)
{
    Random random(1);
    std::map<std::string, double> loads;
    for (const SubsetAgent& agent : agents)
        loads[agent.name] = 0;
    for (int call = 0; call < concurrentCallsPerEntry; ++call) {
        for (const std::vector<std::string>& subset : subsets) {
            double& first = loads[subset[random.index(subset.size())]];
            double& second = loads[subset[random.index(subset.size())]];
            (first <= second ? first : second) += 1;
        }
    }
    std::vector<double> values;
    values.reserve(loads.size());
    for (const auto& [name, load] : loads)
        values.push_back(load);
    return values;
}

void printSubsetSize(std::size_t size, const std::vector<SubsetAgent>& agents)
{
    Subsets subsets = selectAllSubsets(size, agents);
    std::map<std::string, double> entries;
    for (const std::vector<std::string>& subset : subsets) {
        for (const std::string& name : subset)
            entries[name] += 1;
    }
    std::vector<double> counts;
    counts.reserve(agents.size());
    for (const SubsetAgent& agent : agents)
        counts.push_back(entries[agent.name]);
    std::vector<double> loads = placeCalls(subsets, agents);
    double mean = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
    // One zone fails: compares the subsets before with those that the entries select without the agents of this zone.
    std::vector<SubsetAgent> remainingAgents = agents;
    remainingAgents.erase(std::remove_if(remainingAgents.begin(), remainingAgents.end(), [](const SubsetAgent& agent) { return agent.availabilityZone == "zone-0"; }), remainingAgents.end());
    Subsets newSubsets = selectAllSubsets(size, remainingAgents);
    double maxLostShare = 0;
    double addedLinks = 0;
    for (std::size_t index = 0; index < subsets.size(); ++index) {
        double kept = 0;
        for (const std::string& name : subsets[index])
            kept += std::binary_search(newSubsets[index].begin(), newSubsets[index].end(), name) ? 1 : 0;
        maxLostShare = std::max(maxLostShare, (static_cast<double>(subsets[index].size()) - kept) / static_cast<double>(subsets[index].size()));
        addedLinks += static_cast<double>(newSubsets[index].size()) - kept;
    }
    std::printf("%7zu %8.0f %8.1f %8.0f %12.2f %12.2f %14.0f%% %16.1f\n", size, quantile(counts, 0), std::accumulate(counts.begin(), counts.end(), 0.0) / targetAgents,
        quantile(counts, 1), quantile(loads, 0.99) / mean, quantile(loads, 1) / mean, 100 * maxLostShare, addedLinks / targetEntries);
}

}

void printAgentSubsets()
{
    std::printf("\nSubset of agents of 340 entries, 600 agents of 3 models in 6 zones; calls placed by two random choices with the current load known\n");
    std::printf("%7s %8s %8s %8s %12s %12s %15s %16s\n", "subset", "entries", "mean", "most", "load, p99", "load, most", "lost with zone", "new links after");
    std::vector<SubsetAgent> agents = makeAgents();
    for (std::size_t size : { 8, 16, 24, 48, 600 })
        printSubsetSize(size, agents);
    std::fflush(stdout);
}

}
