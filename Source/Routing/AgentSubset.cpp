#include "Routing/AgentSubset.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <xxhash.h>

namespace Damaskgrade {

namespace {

using ZoneAgents = std::map<std::string, std::vector<const SubsetAgent*>>;

std::uint64_t rendezvousWeight(std::string_view entry, std::string_view item)
{
    std::uint64_t seed = XXH64(entry.data(), entry.size(), 0);
    return XXH64(item.data(), item.size(), seed);
}

std::size_t roundedUp(std::size_t numerator, std::size_t denominator)
{
    return (numerator + denominator - 1) / denominator;
}

void sortByWeight(std::string_view entry, std::vector<const SubsetAgent*>& agents)
{
    std::sort(agents.begin(), agents.end(), [entry](const SubsetAgent* left, const SubsetAgent* right) {
        std::uint64_t leftWeight = rendezvousWeight(entry, left->name);
        std::uint64_t rightWeight = rendezvousWeight(entry, right->name);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left->name < right->name;
    });
}

// Each zone has a cap rather than a quota. A quota would be rounded up or down as agents are added and removed,
// which would change connections in zones whose agents did not change.
std::vector<const SubsetAgent*> selectForService(std::string_view entry, std::vector<const SubsetAgent*> agents, std::size_t size)
{
    sortByWeight(entry, agents);
    std::map<std::string, std::size_t> zoneCounts;
    for (const SubsetAgent* agent : agents)
        zoneCounts.emplace(agent->availabilityZone, 0);
    std::size_t cap = roundedUp(size, zoneCounts.size());
    std::vector<const SubsetAgent*> selected;
    std::vector<const SubsetAgent*> overCap;
    for (const SubsetAgent* agent : agents) {
        std::size_t& count = zoneCounts[agent->availabilityZone];
        if (selected.size() < size && count < cap) {
            selected.push_back(agent);
            ++count;
        } else {
            overCap.push_back(agent);
        }
    }
    // If small zones do not reach their cap, agents of larger zones fill the subset.
    for (const SubsetAgent* agent : overCap) {
        if (selected.size() >= size)
            break;
        selected.push_back(agent);
    }
    return selected;
}

}

AgentSubset::AgentSubset(std::size_t size, std::size_t minimumPerService)
    : size_(size)
    , minimumPerService_(minimumPerService)
{
}

std::vector<std::string> AgentSubset::select(std::string_view entry, gsl::span<const SubsetAgent> agents) const
{
    std::vector<std::string> names;
    std::map<std::string, std::vector<const SubsetAgent*>> services;
    for (const SubsetAgent& agent : agents)
        services[agent.serves].push_back(&agent);
    for (const auto& [serves, members] : services) {
        std::size_t share = roundedUp(size_ * members.size(), agents.size());
        std::size_t size = agents.size() <= size_ ? members.size() : std::min(members.size(), std::max(share, minimumPerService_));
        for (const SubsetAgent* agent : selectForService(entry, members, size))
            names.push_back(agent->name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

}
