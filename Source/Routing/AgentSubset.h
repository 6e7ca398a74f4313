#pragma once

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct SubsetAgent {
    std::string name;
    std::string availabilityZone;
    // The model or service.
    std::string serves;
};

// Chooses which agents an entry connects to by rendezvous hashing: every entry ranks the agents by a
// hash of both names, so that an agent or entry that comes or goes changes few connections.
class AgentSubset {
public:
    // The minimum holds for each model or service, so that every entry can serve every call.
    AgentSubset(std::size_t size, std::size_t minimumPerService);

    // Returns names in order. All agents if they are at most the size. Otherwise each model or service gets
    // a part by its number of agents, and within it each zone.
    std::vector<std::string> select(std::string_view entry, gsl::span<const SubsetAgent> agents) const;

private:
    std::size_t size_;
    std::size_t minimumPerService_;
};

}
