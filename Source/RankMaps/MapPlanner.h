#pragma once

#include "Core/Clock.h"
#include "Placement/ExpertMap.h"
#include "RankMaps/RankReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Damaskgrade {

// Numbers of ranks, expert sets and expert slots of a group. An expert slot holds one expert of a set, a request slot of
// the engine one running request.
struct ExpertLayout {
    std::uint32_t ranks { 0 };
    std::uint32_t sets { 0 };
    std::uint32_t expertsPerSet { 0 };
    std::uint32_t slotsPerRank { 0 };
    // How many experts of a set a rank can load in one change.
    std::uint32_t spareSlots { 1 };
};

struct MapPlannerSettings {
    // Time constant of the exponential decay of the counts: counts of this age weigh 1/e. It is short, because the demand
    // for the experts changes every few seconds.
    std::chrono::milliseconds maxCountDecayTime { 500 };
    // The counts of a large group need less time to average out the differences of its requests: the decay time
    // multiplied by the number of its request slots is at most this.
    std::chrono::seconds decayTimeOfAllSlots { 100 };
    std::size_t requestSlots { 0 };
    // By how much a change must at least reduce the skew (the load of the most loaded rank over the mean load, averaged
    // over the sets) while at most reservedSlotShare of the request slots is free. Loading one expert takes some
    // milliseconds of each pass.
    double minimumGain { 0.06 };
    // The same for each expert that every rank loads, so that the gain outweighs the transfer. The ranks load at the same
    // time, so an expert that one of them loads costs the group this, divided by the number of ranks.
    double gainPerLoadOfAllRanks { 0.05 };
    // At a lower utilization passes are short, so a change must gain more: these values are added to the two above,
    // multiplied by the share of request slots that is free beyond reservedSlotShare.
    double idleGain { 0.8 };
    double idleGainPerLoadOfAllRanks { 0.32 };
    double reservedSlotShare { 0.2 };
    // Sum of the counts of a set below which no plan is made.
    double minimumCounts { 5000 };
};

struct MapPlan {
    GroupMap map;
    // The load of the most loaded rank over the mean load, averaged over the sets, before and after the change.
    double skewBefore { 1 };
    double skewAfter { 1 };
    // Number of experts that the ranks load for the change, over all sets.
    std::size_t loads { 0 };
};

// Estimates the demand for each expert from reported counts, and plans the next map of a group.
class MapPlanner {
public:
    MapPlanner(const Clock& clock, const ExpertLayout& layout, MapPlannerSettings settings);

    // Adds the counts of one rank since its last report, for all sets. Ignored if the size does not fit the layout.
    void addCounts(const std::vector<double>& counts);

    // Sets the experts that a rank holds under the map with this version.
    void setExperts(std::uint32_t rank, RankMapVersion version, const RankExperts& experts);

    // Sets the complete current map, after a change to it was completed.
    void setMap(RankMapVersion version, const GroupMap& map);

    // Returns whether the experts of all ranks are known for this version.
    bool hasMap(RankMapVersion version) const;

    // Returns a change whose gain outweighs its cost, or std::nullopt if there is none, the map with this version is not
    // known or there are too few counts. The utilization is the share of the group's request slots that is in use.
    std::optional<MapPlan> plan(RankMapVersion version, double utilization) const;

    // Returns the load of the most loaded rank over the mean load under the current map, averaged over the sets, or 0 if
    // the map is not known.
    double skew() const;

    const ExpertLayout& layout() const { return layout_; }

private:
    ExpertMap mapOfSet(std::uint32_t set) const;
    std::vector<double> loadsOfSet(std::uint32_t set) const;
    Duration decayTime() const;
    void decay();

    const Clock& clock_;
    ExpertLayout layout_;
    MapPlannerSettings settings_;
    std::vector<double> counts_;
    TimePoint decayedAt_;
    RankMapVersion version_ { 0 };
    // The experts of each rank, by set.
    std::map<std::uint32_t, RankExperts> experts_;
};

}
