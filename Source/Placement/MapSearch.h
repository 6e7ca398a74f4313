#pragma once

#include "Placement/ExpertMap.h"

#include <limits>

namespace Damaskgrade {

// A map under change, which finds the next cheapest improvement: replicate an expert of the slowest
// rank, move it, or swap it with another. Replicas that are not needed are dropped when their slot is.
class MapSearch {
public:
    // No rank loads more replicas than maxLoadsPerRank over all changes.
    MapSearch(const ExpertMap& map, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank,
        std::size_t maxLoadsPerRank = std::numeric_limits<std::size_t>::max());

    // Makes the change that lowers the skew the most for each replica to load.
    // Returns the number of replicas to load, or zero if no change lowers the skew.
    std::size_t improve();

    double skew() const { return skewOf(times_); }
    ExpertMap map(std::uint64_t version) const;

private:
    struct Change {
        ExpertIndex expert { 0 };
        RankIndex from { 0 };
        RankIndex to { 0 };
        // The replica stays on the rank it comes from.
        bool keepsSource { false };
        // An expert on the target rank that is dropped, or that goes to the source rank.
        bool hasPartner { false };
        bool isSwap { false };
        ExpertIndex partner { 0 };
        double gain { 0 };
        std::size_t loads { 1 };
    };

    void apply(const Change& change);
    void addReplica(ExpertIndex expert, RankIndex rank);
    void removeReplica(ExpertIndex expert, RankIndex rank);
    void adjust(ExpertIndex expert, double sign);
    bool holds(RankIndex rank, ExpertIndex expert) const;
    double penalty() const;
    void consider(Change change, Change& best);

    std::vector<double> loads_;
    std::vector<double> slowness_;
    std::size_t slots_;
    std::size_t maxLoadsPerRank_;
    std::vector<std::size_t> loadsOfRank_;
    std::vector<std::vector<RankIndex>> replicas_;
    std::vector<std::vector<ExpertIndex>> experts_;
    std::vector<double> times_;
    double scale_ { 1 };
};

}
