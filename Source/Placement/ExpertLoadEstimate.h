#pragma once

#include "Core/Clock.h"
#include "Placement/ExpertMap.h"

#include <optional>

namespace Damaskgrade {

// The load of a group in one interval, from its reports. The reports are delayed and noisy.
struct ExpertLoadSample {
    // The time of the sample on the receiver's clock.
    TimePoint time;
    // Tokens of each expert in the interval.
    std::vector<double> expertTokens;
    // Compute time of each rank for its tokens of the interval, without the wait for other ranks.
    std::vector<double> rankSeconds;
    // The map that the group used in the interval.
    ExpertMap map;
};

struct ExpertLoadSettings {
    // The time after which the weight of a sample has fallen to 1/e.
    std::chrono::seconds timeConstant { 25 };
    // A rank is a straggler if its time per token is at least this multiple of the median.
    double stragglerSlowness { 1.25 };
};

// Estimates the share of tokens of each expert and the slowness of each rank.
class ExpertLoadEstimate {
public:
    ExpertLoadEstimate(std::size_t rankCount, std::size_t expertCount, const ExpertLoadSettings& settings);

    // Ignores a sample that is not newer than the last one, has no tokens or has the wrong size.
    void observe(const ExpertLoadSample& sample);

    bool hasData() const { return lastSampleTime_.has_value(); }

    // Returns the expected share of each expert in the tokens of the group. The shares sum to 1.
    std::vector<double> forecast() const;

    // Returns the time per token of each rank, relative to the median rank. The value is 1 for each rank
    // that is not a straggler.
    std::vector<double> slowness() const;

    bool isStraggler(RankIndex rank) const { return slowness_[rank] >= settings_.stragglerSlowness; }

private:
    ExpertLoadSettings settings_;
    std::vector<double> expertShares_;
    std::vector<double> slowness_;
    std::optional<TimePoint> lastSampleTime_;
};

}
