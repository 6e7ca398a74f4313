#pragma once

#include "Core/Clock.h"
#include "Placement/ExpertMap.h"
#include "RankMaps/RankReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Damaskgrade {

// Size of the experts of a group.
struct ExpertLayout {
    std::uint32_t ranks { 0 };
    std::uint32_t sets { 0 };
    std::uint32_t expertsPerSet { 0 };
    std::uint32_t slotsPerRank { 0 };
    // Experts of a set that a rank can load in one change.
    std::uint32_t spareSlots { 1 };
};

struct MapPlannerSettings {
    // Counts older than this count for less than 1/e. Demand shifts every few seconds.
    std::chrono::milliseconds countDecayTime { 500 };
    // The load of the fullest rank over the mean, averaged over the sets, that a change has to save at least
    // while all slots are in use. A load of one expert takes some milliseconds of each pass.
    double minimumGain { 0.06 };
    // The same for each expert that is loaded, so that a load is worth its transfer.
    double gainPerLoad { 0.003 };
    // At a lower utilization passes are short anyway, so a change has to save more: these are added, times
    // the share of slots that is free beyond the usual reserve.
    double idleGain { 0.8 };
    double idleGainPerLoad { 0.02 };
    double reservedSlotShare { 0.2 };
    // Counts in a set below which nothing is decided.
    double minimumCounts { 5000 };
};

struct MapPlan {
    GroupMap map;
    // Mean over the sets of the fullest rank's load over the mean load.
    double skewBefore { 1 };
    double skewAfter { 1 };
    std::size_t loads { 0 };
};

// Estimates how much each expert is used and plans the next map of a group.
class MapPlanner {
public:
    MapPlanner(const Clock& clock, const ExpertLayout& layout, MapPlannerSettings settings);

    // Takes counts of all sets since the last call, of any rank.
    void addCounts(const std::vector<double>& counts);

    // Takes the experts that a rank holds under the current map.
    void setExperts(std::uint32_t rank, RankMapVersion version, const RankExperts& experts);

    // A change to this map was completed.
    void setMap(RankMapVersion version, const GroupMap& map);

    // Says whether the experts of all ranks are known for this version.
    bool hasMap(RankMapVersion version) const;

    // Returns the change that is worthwhile now, if any.
    // The utilization is the share of the group's slots that is in use.
    std::optional<MapPlan> plan(RankMapVersion version, double utilization) const;

    // Mean over the sets of the fullest rank's load over the mean load under the current map.
    double skew() const;

    const ExpertLayout& layout() const { return layout_; }

private:
    ExpertMap mapOfSet(std::uint32_t set) const;
    std::vector<double> loadsOfSet(std::uint32_t set) const;
    void decay();

    const Clock& clock_;
    ExpertLayout layout_;
    MapPlannerSettings settings_;
    std::vector<double> counts_;
    TimePoint decayedAt_;
    RankMapVersion version_ { 0 };
    // By rank, the experts by set.
    std::map<std::uint32_t, RankExperts> experts_;
};

}
