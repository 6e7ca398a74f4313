#pragma once

#include "Placement/ExpertMap.h"

#include <limits>
#include <utility>
#include <vector>

namespace Damaskgrade {

// Improves an expert map step by step. Each step replicates an expert of the slowest rank, moves it, or
// swaps it with an expert of another rank. If the target rank has no free slot, the step can replace an
// expert there that has other replicas.
class MapSearch {
public:
    // maxReplicaLoadsPerRank limits the number of replicas that each rank loads over all changes.
    MapSearch(const ExpertMap& map, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank,
        std::size_t maxReplicaLoadsPerRank = std::numeric_limits<std::size_t>::max());

    // Makes the change with the largest gain per replica to load. Returns the number of replicas to
    // load, or zero if there is no change with a gain.
    std::size_t improve();

    double skew() const { return skewOf(rankTimes_); }
    ExpertMap map(std::uint64_t version) const;

private:
    struct Change {
        ExpertIndex expert { 0 };
        RankIndex from { 0 };
        RankIndex to { 0 };
        // Whether the source rank keeps its replica.
        bool keepsSource { false };
        // Whether displacedExpert is removed from the target rank.
        bool displacesExpert { false };
        // Whether displacedExpert is added to the source rank.
        bool isSwap { false };
        ExpertIndex displacedExpert { 0 };
        // The decrease of penalty() per replica to load.
        double gain { 0 };
        // The number of replicas to load.
        std::size_t replicaLoads { 1 };
    };

    void apply(const Change& change);
    void addReplica(ExpertIndex expert, RankIndex rank);
    void removeReplica(ExpertIndex expert, RankIndex rank);
    void adjustRankTimes(ExpertIndex expert, double sign);
    bool holds(RankIndex rank, ExpertIndex expert) const;
    double penaltyOf(double rankTime) const;
    double penalty() const;
    void addTimeChange(RankIndex rank, double loadChange);
    void addReplicaChange(ExpertIndex expert, RankIndex changedRank, int replicaChange);
    void addMove(ExpertIndex expert, RankIndex from, RankIndex to);
    void evaluate(Change change, Change& best);

    std::vector<double> expertLoads_;
    std::vector<double> slowness_;
    std::size_t slotsPerRank_;
    std::size_t maxReplicaLoadsPerRank_;
    std::vector<std::size_t> replicaLoadsOfRank_;
    std::vector<std::vector<RankIndex>> replicas_;
    std::vector<std::vector<ExpertIndex>> expertsOfRank_;
    std::vector<double> rankTimes_;
    double scale_ { 1 };
    // The ranks whose time the evaluated change alters, and by how much.
    std::vector<std::pair<RankIndex, double>> timeChanges_;
};

}
