#pragma once

#include "Placement/ExpertMap.h"

namespace Damaskgrade {

// Policies that PlacementPolicy is compared with. None of them weighs the cost.

// Changes the current map until nothing improves it. With the true future load this is the oracle.
ExpertMap improveGreedily(const ExpertMap& current, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank);

// Fills all slots with replicas of the hottest experts and packs them without regard to the current map.
ExpertMap packFromScratch(std::uint64_t version, std::size_t rankCount, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank);

}
