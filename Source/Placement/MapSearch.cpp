#include "Placement/MapSearch.h"

#include <algorithm>
#include <numeric>

namespace Damaskgrade {

namespace {

// Only the ranks with the shortest times are tried as targets. The search time is proportional to the
// number of targets, and more targets improve the result little.
constexpr std::size_t maxTargetRanks = 8;
// Smaller relative gains can be rounding errors.
constexpr double minRelativeGain = 1e-9;

}

MapSearch::MapSearch(const ExpertMap& map, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank,
    std::size_t maxReplicaLoadsPerRank)
    : expertLoads_(expertLoads)
    , slowness_(slowness)
    , slotsPerRank_(slotsPerRank)
    , maxReplicaLoadsPerRank_(maxReplicaLoadsPerRank)
    , replicaLoadsOfRank_(map.rankCount(), 0)
    , expertsOfRank_(map.rankCount())
    , rankTimes_(map.rankCount(), 0)
{
    for (ExpertIndex expert = 0; expert < map.expertCount(); ++expert) {
        replicas_.push_back(map.replicas(expert));
        for (RankIndex rank : map.replicas(expert))
            expertsOfRank_[rank].push_back(expert);
        adjustRankTimes(expert, 1);
    }
    double sum = std::accumulate(rankTimes_.begin(), rankTimes_.end(), 0.0);
    scale_ = sum > 0 ? static_cast<double>(rankTimes_.size()) / sum : 1;
}

void MapSearch::adjustRankTimes(ExpertIndex expert, double sign)
{
    double share = sign * expertLoads_[expert] / static_cast<double>(replicas_[expert].size());
    for (RankIndex rank : replicas_[expert])
        rankTimes_[rank] += share * slowness_[rank];
}

bool MapSearch::holds(RankIndex rank, ExpertIndex expert) const
{
    return std::find(replicas_[expert].begin(), replicas_[expert].end(), rank) != replicas_[expert].end();
}

void MapSearch::addReplica(ExpertIndex expert, RankIndex rank)
{
    if (!replicas_[expert].empty())
        adjustRankTimes(expert, -1);
    replicas_[expert].push_back(rank);
    expertsOfRank_[rank].push_back(expert);
    adjustRankTimes(expert, 1);
}

void MapSearch::removeReplica(ExpertIndex expert, RankIndex rank)
{
    adjustRankTimes(expert, -1);
    replicas_[expert].erase(std::find(replicas_[expert].begin(), replicas_[expert].end(), rank));
    expertsOfRank_[rank].erase(std::find(expertsOfRank_[rank].begin(), expertsOfRank_[rank].end(), expert));
    if (!replicas_[expert].empty())
        adjustRankTimes(expert, 1);
}

void MapSearch::apply(const Change& change)
{
    if (!change.keepsSource)
        removeReplica(change.expert, change.from);
    if (change.displacesExpert)
        removeReplica(change.displacedExpert, change.to);
    addReplica(change.expert, change.to);
    if (change.isSwap)
        addReplica(change.displacedExpert, change.from);
}

double MapSearch::penaltyOf(double rankTime) const
{
    double square = rankTime * scale_ * rankTime * scale_;
    return square * square * square * square;
}

// Returns the sum of the eighth powers of the rank times. The slowest rank dominates the sum, but the
// sum also decreases when only one of several equally slow ranks gets less load.
double MapSearch::penalty() const
{
    double sum = 0;
    for (double time : rankTimes_)
        sum += penaltyOf(time);
    return sum;
}

void MapSearch::addTimeChange(RankIndex rank, double loadChange)
{
    double change = loadChange * slowness_[rank];
    auto found = std::find_if(timeChanges_.begin(), timeChanges_.end(), [rank](const auto& entry) { return entry.first == rank; });
    if (found == timeChanges_.end())
        timeChanges_.emplace_back(rank, change);
    else
        found->second += change;
}

// Adds the changes of rank times if the expert gets a replica on one more rank (replicaChange 1), or loses the one on this
// rank (replicaChange -1).
void MapSearch::addReplicaChange(ExpertIndex expert, RankIndex changedRank, int replicaChange)
{
    double count = static_cast<double>(replicas_[expert].size());
    double share = expertLoads_[expert] / count;
    double newShare = expertLoads_[expert] / (count + replicaChange);
    for (RankIndex rank : replicas_[expert])
        addTimeChange(rank, newShare - share);
    addTimeChange(changedRank, replicaChange > 0 ? newShare : -newShare);
}

void MapSearch::addMove(ExpertIndex expert, RankIndex from, RankIndex to)
{
    double share = expertLoads_[expert] / static_cast<double>(replicas_[expert].size());
    addTimeChange(from, -share);
    addTimeChange(to, share);
}

// Considers only the ranks whose time changes, because this is called for each candidate of each step.
void MapSearch::evaluate(Change change, Change& best)
{
    timeChanges_.clear();
    if (change.keepsSource)
        addReplicaChange(change.expert, change.to, 1);
    else
        addMove(change.expert, change.from, change.to);
    if (change.isSwap)
        addMove(change.displacedExpert, change.to, change.from);
    else if (change.displacesExpert)
        addReplicaChange(change.displacedExpert, change.to, -1);
    double decrease = 0;
    for (const auto& [rank, timeChange] : timeChanges_)
        decrease += penaltyOf(rankTimes_[rank]) - penaltyOf(rankTimes_[rank] + timeChange);
    change.gain = decrease / static_cast<double>(change.replicaLoads);
    if (change.gain > best.gain)
        best = change;
}

std::size_t MapSearch::improve()
{
    RankIndex slowest = static_cast<RankIndex>(std::max_element(rankTimes_.begin(), rankTimes_.end()) - rankTimes_.begin());
    std::vector<RankIndex> targets(rankTimes_.size());
    std::iota(targets.begin(), targets.end(), 0);
    std::size_t count = std::min(maxTargetRanks, targets.size() - 1);
    std::partial_sort(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(count), targets.end(),
        [this](RankIndex left, RankIndex right) { return rankTimes_[left] < rankTimes_[right]; });
    targets.resize(count);

    Change best;
    best.gain = minRelativeGain * penalty();
    double threshold = best.gain;
    std::vector<ExpertIndex> sourceExperts = expertsOfRank_[slowest];
    for (ExpertIndex expert : sourceExperts) {
        for (RankIndex target : targets) {
            if (target == slowest || holds(target, expert) || replicaLoadsOfRank_[target] >= maxReplicaLoadsPerRank_)
                continue;
            Change change;
            change.expert = expert;
            change.from = slowest;
            change.to = target;
            if (expertsOfRank_[target].size() < slotsPerRank_) {
                evaluate(change, best);
                change.keepsSource = true;
                evaluate(change, best);
                continue;
            }
            change.displacesExpert = true;
            std::vector<ExpertIndex> displacedCandidates = expertsOfRank_[target];
            for (ExpertIndex displacedExpert : displacedCandidates) {
                change.displacedExpert = displacedExpert;
                change.keepsSource = false;
                change.isSwap = false;
                change.replicaLoads = 1;
                if (replicas_[displacedExpert].size() > 1) {
                    evaluate(change, best);
                    change.keepsSource = true;
                    evaluate(change, best);
                } else if (!holds(slowest, displacedExpert) && replicaLoadsOfRank_[slowest] < maxReplicaLoadsPerRank_) {
                    change.isSwap = true;
                    change.replicaLoads = 2;
                    evaluate(change, best);
                }
            }
        }
    }
    if (best.gain <= threshold)
        return 0;
    apply(best);
    ++replicaLoadsOfRank_[best.to];
    if (best.isSwap)
        ++replicaLoadsOfRank_[best.from];
    return best.replicaLoads;
}

ExpertMap MapSearch::map(std::uint64_t version) const
{
    return ExpertMap(version, expertsOfRank_.size(), replicas_);
}

}
