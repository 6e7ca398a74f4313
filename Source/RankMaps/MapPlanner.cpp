#include "RankMaps/MapPlanner.h"

#include "Placement/MapSearch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Damaskgrade {

namespace {

GroupMap emptyMap(const ExpertLayout& layout)
{
    return GroupMap(layout.sets, std::vector<std::vector<std::uint32_t>>(layout.ranks));
}

void writeSet(const ExpertMap& map, std::vector<std::vector<std::uint32_t>>& ranks)
{
    for (std::vector<std::uint32_t>& rank : ranks)
        rank.clear();
    for (ExpertIndex expert = 0; expert < map.expertCount(); ++expert) {
        for (RankIndex rank : map.replicas(expert))
            ranks[rank].push_back(expert);
    }
}

}

MapPlanner::MapPlanner(const Clock& clock, const ExpertLayout& layout, MapPlannerSettings settings)
    : clock_(clock)
    , layout_(layout)
    , settings_(settings)
    , counts_(static_cast<std::size_t>(layout.sets) * layout.expertsPerSet, 0)
    , decayedAt_(clock.now())
{
}

void MapPlanner::addCounts(const std::vector<double>& counts)
{
    if (counts.size() != counts_.size())
        return;
    decay();
    for (std::size_t i = 0; i < counts.size(); ++i)
        counts_[i] += counts[i];
}

void MapPlanner::setExperts(std::uint32_t rank, RankMapVersion version, const RankExperts& experts)
{
    if (version != version_) {
        experts_.clear();
        version_ = version;
    }
    if (experts.size() == layout_.sets && rank < layout_.ranks)
        experts_[rank] = experts;
}

void MapPlanner::setMap(RankMapVersion version, const GroupMap& map)
{
    experts_.clear();
    version_ = version;
    for (std::uint32_t rank = 0; rank < layout_.ranks; ++rank) {
        for (std::uint32_t set = 0; set < layout_.sets; ++set)
            experts_[rank].push_back(map[set][rank]);
    }
}

bool MapPlanner::hasMap(RankMapVersion version) const
{
    return version == version_ && experts_.size() == layout_.ranks;
}

std::optional<MapPlan> MapPlanner::plan(RankMapVersion version, double utilization) const
{
    double idleShare = std::max(0.0, 1 - settings_.reservedSlotShare - utilization);
    double gainPerLoad = (settings_.gainPerLoadOfAllRanks + settings_.idleGainPerLoadOfAllRanks * idleShare) / layout_.ranks;
    double minimumGain = settings_.minimumGain + settings_.idleGain * idleShare;
    if (!hasMap(version))
        return std::nullopt;
    std::vector<double> even(layout_.ranks, 1);
    MapPlan plan;
    plan.map = emptyMap(layout_);
    plan.skewBefore = 0;
    plan.skewAfter = 0;
    for (std::uint32_t set = 0; set < layout_.sets; ++set) {
        ExpertMap current = mapOfSet(set);
        std::vector<double> loads = loadsOfSet(set);
        if (std::accumulate(loads.begin(), loads.end(), 0.0) < settings_.minimumCounts)
            return std::nullopt;
        MapSearch search(current, loads, even, layout_.slotsPerRank, layout_.spareSlots);
        double before = search.skew();
        double bestSkew = before;
        std::size_t bestReplicaLoads = 0;
        std::size_t bestSteps = 0;
        std::size_t steps = 0;
        std::size_t totalReplicaLoads = 0;
        std::size_t maxReplicaLoads = static_cast<std::size_t>(layout_.ranks) * layout_.spareSlots;
        while (totalReplicaLoads < maxReplicaLoads) {
            std::size_t loaded = search.improve();
            if (loaded == 0)
                break;
            totalReplicaLoads += loaded;
            ++steps;
            // More than one expert may have to be loaded before the load of the most loaded rank changes, so the search
            // continues and the best map found so far is used.
            double gain = (bestSkew - search.skew()) / layout_.sets;
            if (gain >= gainPerLoad * static_cast<double>(totalReplicaLoads - bestReplicaLoads)) {
                bestSteps = steps;
                bestSkew = search.skew();
                bestReplicaLoads = totalReplicaLoads;
            }
        }
        plan.loads += bestReplicaLoads;
        plan.skewBefore += before / layout_.sets;
        plan.skewAfter += bestSkew / layout_.sets;
        // Repeating the steps is cheaper than a copy of the map after each of them.
        MapSearch repeated(current, loads, even, layout_.slotsPerRank, layout_.spareSlots);
        for (std::size_t step = 0; step < bestSteps; ++step)
            repeated.improve();
        writeSet(repeated.map(0), plan.map[set]);
    }
    if (plan.skewBefore - plan.skewAfter < minimumGain)
        return std::nullopt;
    return plan;
}

double MapPlanner::skew() const
{
    if (experts_.size() != layout_.ranks)
        return 0;
    double sum = 0;
    for (std::uint32_t set = 0; set < layout_.sets; ++set)
        sum += skewOf(mapOfSet(set).rankLoads(loadsOfSet(set)));
    return sum / layout_.sets;
}

ExpertMap MapPlanner::mapOfSet(std::uint32_t set) const
{
    std::vector<std::vector<RankIndex>> replicas(layout_.expertsPerSet);
    for (const auto& [rank, sets] : experts_) {
        for (std::uint32_t expert : sets[set])
            replicas.at(expert).push_back(rank);
    }
    return ExpertMap(version_, layout_.ranks, replicas);
}

std::vector<double> MapPlanner::loadsOfSet(std::uint32_t set) const
{
    auto begin = counts_.begin() + static_cast<std::ptrdiff_t>(set) * layout_.expertsPerSet;
    return { begin, begin + layout_.expertsPerSet };
}

Duration MapPlanner::decayTime() const
{
    Duration longest = settings_.maxCountDecayTime;
    return settings_.requestSlots > 0 ? std::min<Duration>(longest, Duration(settings_.decayTimeOfAllSlots) / settings_.requestSlots) : longest;
}

void MapPlanner::decay()
{
    TimePoint now = clock_.now();
    double factor = std::exp(-std::chrono::duration<double>(now - decayedAt_).count() / std::chrono::duration<double>(decayTime()).count());
    decayedAt_ = now;
    for (double& count : counts_)
        count *= factor;
}

}
