#include "Placement/MapSearch.h"

#include <algorithm>
#include <numeric>

namespace Damaskgrade {

namespace {

// Only the ranks with the least time are tried as targets. More targets change the result
// little and take time in proportion.
constexpr std::size_t maxTargets = 8;
// A smaller relative gain is rounding.
constexpr double smallestGain = 1e-9;

}

MapSearch::MapSearch(const ExpertMap& map, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank,
    std::size_t maxLoadsPerRank)
    : loads_(expertLoads)
    , slowness_(slowness)
    , slots_(slotsPerRank)
    , maxLoadsPerRank_(maxLoadsPerRank)
    , loadsOfRank_(map.rankCount(), 0)
    , experts_(map.rankCount())
    , times_(map.rankCount(), 0)
{
    for (ExpertIndex expert = 0; expert < map.expertCount(); ++expert) {
        replicas_.push_back(map.replicas(expert));
        for (RankIndex rank : map.replicas(expert))
            experts_[rank].push_back(expert);
        adjust(expert, 1);
    }
    double sum = std::accumulate(times_.begin(), times_.end(), 0.0);
    scale_ = sum > 0 ? static_cast<double>(times_.size()) / sum : 1;
}

void MapSearch::adjust(ExpertIndex expert, double sign)
{
    double share = sign * loads_[expert] / static_cast<double>(replicas_[expert].size());
    for (RankIndex rank : replicas_[expert])
        times_[rank] += share * slowness_[rank];
}

bool MapSearch::holds(RankIndex rank, ExpertIndex expert) const
{
    return std::find(replicas_[expert].begin(), replicas_[expert].end(), rank) != replicas_[expert].end();
}

void MapSearch::addReplica(ExpertIndex expert, RankIndex rank)
{
    if (!replicas_[expert].empty())
        adjust(expert, -1);
    replicas_[expert].push_back(rank);
    experts_[rank].push_back(expert);
    adjust(expert, 1);
}

void MapSearch::removeReplica(ExpertIndex expert, RankIndex rank)
{
    adjust(expert, -1);
    replicas_[expert].erase(std::find(replicas_[expert].begin(), replicas_[expert].end(), rank));
    experts_[rank].erase(std::find(experts_[rank].begin(), experts_[rank].end(), expert));
    if (!replicas_[expert].empty())
        adjust(expert, 1);
}

void MapSearch::apply(const Change& change)
{
    if (!change.keepsSource)
        removeReplica(change.expert, change.from);
    if (change.hasPartner)
        removeReplica(change.partner, change.to);
    addReplica(change.expert, change.to);
    if (change.isSwap)
        addReplica(change.partner, change.from);
}

// The sum of the eighth powers follows the slowest rank, and still falls when one
// of several equally slow ranks is relieved.
double MapSearch::penalty() const
{
    double sum = 0;
    for (double time : times_) {
        double square = time * scale_ * time * scale_;
        sum += square * square * square * square;
    }
    return sum;
}

void MapSearch::consider(Change change, Change& best)
{
    std::vector<double> before = times_;
    double penaltyBefore = penalty();
    apply(change);
    change.gain = (penaltyBefore - penalty()) / static_cast<double>(change.loads);
    Change back = change;
    if (change.isSwap)
        removeReplica(change.partner, change.from);
    removeReplica(back.expert, back.to);
    if (change.hasPartner)
        addReplica(change.partner, change.to);
    if (!change.keepsSource)
        addReplica(change.expert, change.from);
    // Restores the exact values, so that rounding doesn't add up.
    times_ = before;
    if (change.gain > best.gain)
        best = change;
}

std::size_t MapSearch::improve()
{
    RankIndex slowest = static_cast<RankIndex>(std::max_element(times_.begin(), times_.end()) - times_.begin());
    std::vector<RankIndex> targets(times_.size());
    std::iota(targets.begin(), targets.end(), 0);
    std::size_t count = std::min(maxTargets, targets.size() - 1);
    std::partial_sort(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(count), targets.end(),
        [this](RankIndex left, RankIndex right) { return times_[left] < times_[right]; });
    targets.resize(count);

    Change best;
    best.gain = smallestGain * penalty();
    double threshold = best.gain;
    std::vector<ExpertIndex> sources = experts_[slowest];
    for (ExpertIndex expert : sources) {
        for (RankIndex target : targets) {
            if (target == slowest || holds(target, expert) || loadsOfRank_[target] >= maxLoadsPerRank_)
                continue;
            Change change;
            change.expert = expert;
            change.from = slowest;
            change.to = target;
            if (experts_[target].size() < slots_) {
                consider(change, best);
                change.keepsSource = true;
                consider(change, best);
                continue;
            }
            change.hasPartner = true;
            std::vector<ExpertIndex> partners = experts_[target];
            for (ExpertIndex partner : partners) {
                change.partner = partner;
                change.keepsSource = false;
                change.isSwap = false;
                change.loads = 1;
                if (replicas_[partner].size() > 1) {
                    consider(change, best);
                    change.keepsSource = true;
                    consider(change, best);
                } else if (!holds(slowest, partner) && loadsOfRank_[slowest] < maxLoadsPerRank_) {
                    change.isSwap = true;
                    change.loads = 2;
                    consider(change, best);
                }
            }
        }
    }
    if (best.gain <= threshold)
        return 0;
    apply(best);
    ++loadsOfRank_[best.to];
    if (best.isSwap)
        ++loadsOfRank_[best.from];
    return best.loads;
}

ExpertMap MapSearch::map(std::uint64_t version) const
{
    return ExpertMap(version, experts_.size(), replicas_);
}

}
