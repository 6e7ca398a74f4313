#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

using RankIndex = std::uint32_t;
using ExpertIndex = std::uint32_t;

// Assigns the replicas of each expert to ranks. The tokens of an expert are split evenly over its
// replicas.
class ExpertMap {
public:
    ExpertMap() = default;

    // replicas contains the list of ranks of each expert. Throws Error(DocumentInvalid) for an expert
    // without a replica, a rank out of range, or two replicas of one expert on the same rank.
    ExpertMap(std::uint64_t version, std::size_t rankCount, std::vector<std::vector<RankIndex>> replicas);

    // Returns version 1 of a map that assigns contiguous ranges of experts to the ranks, without replication.
    static ExpertMap contiguous(std::size_t rankCount, std::size_t expertCount);

    std::uint64_t version() const { return version_; }
    std::size_t rankCount() const { return rankCount_; }
    std::size_t expertCount() const { return replicas_.size(); }
    const std::vector<RankIndex>& replicas(ExpertIndex expert) const { return replicas_[expert]; }
    bool holds(RankIndex rank, ExpertIndex expert) const;

    // Returns the largest number of experts on any rank.
    std::size_t maxExpertsPerRank() const;

    // Returns the load of each rank that results from the given load of each expert.
    std::vector<double> rankLoads(const std::vector<double>& expertLoads) const;

private:
    std::uint64_t version_ { 0 };
    std::size_t rankCount_ { 0 };
    std::vector<std::vector<RankIndex>> replicas_;
};

// Returns the number of replicas that the ranks have to load to switch from one map to another.
std::size_t replicasToLoad(const ExpertMap& from, const ExpertMap& to);

std::uint64_t bytesToLoad(const ExpertMap& from, const ExpertMap& to, std::uint64_t bytesPerExpert);

// Returns the time of the slowest rank divided by the mean of all ranks, or 1 if all times are zero.
double skewOf(const std::vector<double>& rankTimes);

// Encode and decode the payload of a prepare order. Decoding throws Error(BadFrame) for malformed text
// and Error(DocumentInvalid) for a map that the constructor of ExpertMap rejects.
std::string encodeExpertMap(const ExpertMap& map);
ExpertMap decodeExpertMap(std::string_view text);

}
