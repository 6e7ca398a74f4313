#pragma once

#include "Placement/ExpertMap.h"

namespace Damaskgrade {

// Baseline policies that PlacementPolicy is compared with. They ignore the cost of a change.

// Improves the current map until no change has a gain. With the actual future load as input, this is
// the oracle of the comparison.
ExpertMap improveGreedily(const ExpertMap& current, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank);

// Fills all slots with replicas of the experts with the highest load and assigns the replicas to
// ranks regardless of the current map.
ExpertMap packFromScratch(std::uint64_t version, std::size_t rankCount, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank);

}
