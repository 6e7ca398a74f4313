#pragma once

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct SubsetAgent {
    std::string name;
    std::string availabilityZone;
    // The model or service that the agent's engine serves.
    std::string serves;
};

// Selects the agents that an entry connects to by rendezvous hashing: every entry sorts the agents by a
// hash of both names, so that adding or removing an agent or an entry changes few connections.
class AgentSubset {
public:
    // The minimum applies to each model or service, so that every entry can serve every call.
    AgentSubset(std::size_t size, std::size_t minimumPerService);

    // Returns the names of the selected agents in ascending order: all agents if there are no more than the size.
    // Otherwise each model or service gets a share of the size in proportion to its number of agents, and the
    // share is spread over the zones. The shares are rounded up and are at least the minimum, so the result may exceed
    // the size.
    std::vector<std::string> select(std::string_view entry, gsl::span<const SubsetAgent> agents) const;

private:
    std::size_t size_;
    std::size_t minimumPerService_;
};

}
