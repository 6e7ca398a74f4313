#include "RankMaps/RelayTree.h"

#include <algorithm>

namespace Damaskgrade {

std::vector<RelayBranch> splitIntoBranches(gsl::span<const Endpoint> receivers, std::size_t maxBranches)
{
    std::size_t size = receivers.size();
    std::size_t count = std::min(size, maxBranches);
    std::vector<RelayBranch> branches;
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t begin = size * i / count;
        std::size_t end = size * (i + 1) / count;
        RelayBranch branch;
        branch.head = receivers[begin];
        gsl::span<const Endpoint> rest = receivers.subspan(begin + 1, end - begin - 1);
        branch.rest.assign(rest.begin(), rest.end());
        branches.push_back(std::move(branch));
    }
    return branches;
}

std::size_t relayLevels(std::size_t receivers)
{
    std::size_t levels = 0;
    // The largest branch has the remainder of the division.
    for (std::size_t remaining = receivers; remaining > 0; ++levels)
        remaining = (remaining + relayFanOut - 1) / relayFanOut - 1;
    return levels;
}

}
