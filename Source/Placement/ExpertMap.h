#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

using RankIndex = std::uint32_t;
using ExpertIndex = std::uint32_t;

// Says which ranks hold a replica of which expert. The tokens of an expert are split
// evenly over its replicas.
class ExpertMap {
public:
    ExpertMap() = default;

    // Takes one list of ranks for each expert. Throws Error(DocumentInvalid) for an expert without
    // a replica, a rank out of range, or two replicas of one expert on a rank.
    ExpertMap(std::uint64_t version, std::size_t rankCount, std::vector<std::vector<RankIndex>> replicas);

    // Spreads the experts over the ranks in order, without replication.
    static ExpertMap contiguous(std::size_t rankCount, std::size_t expertCount);

    std::uint64_t version() const { return version_; }
    std::size_t rankCount() const { return rankCount_; }
    std::size_t expertCount() const { return replicas_.size(); }
    const std::vector<RankIndex>& replicas(ExpertIndex expert) const { return replicas_[expert]; }
    bool holds(RankIndex rank, ExpertIndex expert) const;

    // Returns the number of experts on the fullest rank.
    std::size_t maxExpertsPerRank() const;

    // Returns the load of each rank for the load of each expert.
    std::vector<double> rankLoads(const std::vector<double>& expertLoads) const;

private:
    std::uint64_t version_ { 0 };
    std::size_t rankCount_ { 0 };
    std::vector<std::vector<RankIndex>> replicas_;
};

// Returns the number of replicas that ranks have to load to get from one map to another.
std::size_t replicasToLoad(const ExpertMap& from, const ExpertMap& to);

std::uint64_t bytesToLoad(const ExpertMap& from, const ExpertMap& to, std::uint64_t bytesPerExpert);

// Returns the time of the slowest rank over the mean of all ranks, or 1 without load.
double skewOf(const std::vector<double>& rankTimes);

// The payload of a map switch. Decoding throws Error(BadFrame) or Error(DocumentInvalid).
std::string encodeExpertMap(const ExpertMap& map);
ExpertMap decodeExpertMap(std::string_view text);

}
