#pragma once

#include "Placement/ExpertMap.h"

#include <limits>

namespace Damaskgrade {

// A map under change, which finds the next cheapest improvement: replicate an expert of the slowest
// rank, move it, or swap it with another. Replicas that are not needed are dropped when their slot is.
class MapSearch {
public:
    // No rank loads more replicas than maxReplicaLoadsPerRank over all changes.
    MapSearch(const ExpertMap& map, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank,
        std::size_t maxReplicaLoadsPerRank = std::numeric_limits<std::size_t>::max());

    // Makes the change that lowers the skew the most for each replica to load.
    // Returns the number of replicas to load, or zero if no change lowers the skew.
    std::size_t improve();

    double skew() const { return skewOf(rankTimes_); }
    ExpertMap map(std::uint64_t version) const;

private:
    struct Change {
        ExpertIndex expert { 0 };
        RankIndex from { 0 };
        RankIndex to { 0 };
        // The replica stays on the rank it comes from.
        bool keepsSource { false };
        // An expert on the target rank that is dropped, or that goes to the source rank.
        bool displacesExpert { false };
        bool isSwap { false };
        ExpertIndex displacedExpert { 0 };
        double gain { 0 };
        std::size_t replicaLoads { 1 };
    };

    void apply(const Change& change);
    void addReplica(ExpertIndex expert, RankIndex rank);
    void removeReplica(ExpertIndex expert, RankIndex rank);
    void adjustRankTimes(ExpertIndex expert, double sign);
    bool holds(RankIndex rank, ExpertIndex expert) const;
    double penalty() const;
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
};

}
