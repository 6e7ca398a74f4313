#pragma once

#include "Core/Clock.h"
#include "Placement/ExpertMap.h"

#include <optional>

namespace Damaskgrade {

// What a group reports of one interval. It is late and noisy.
struct ExpertLoadSample {
    // The middle of the interval, in the receiver's time.
    TimePoint time;
    std::vector<double> expertTokens;
    // Compute time of each rank per step, without the wait for the others.
    std::vector<double> rankSeconds;
    // The map that was used.
    ExpertMap map;
};

struct ExpertLoadSettings {
    // Samples older than this count for less than 1/e.
    std::chrono::seconds timeConstant { 25 };
    // A rank that needs this much more time per token than the median is a straggler.
    double stragglerSlowness { 1.25 };
};

// Estimates the share of tokens of each expert and the slowness of each rank.
class ExpertLoadEstimate {
public:
    ExpertLoadEstimate(std::size_t rankCount, std::size_t expertCount, const ExpertLoadSettings& settings);

    // Ignores a sample that is older than the last one or has the wrong size.
    void observe(const ExpertLoadSample& sample);

    bool hasData() const { return lastSampleTime_.has_value(); }

    // Returns the expected share of each expert; the shares sum to 1.
    std::vector<double> forecast() const;

    // Returns the time per token of each rank over that of the median rank. 1 unless the rank is a straggler.
    std::vector<double> slowness() const;

    bool isStraggler(RankIndex rank) const { return slowness_[rank] >= settings_.stragglerSlowness; }

private:
    ExpertLoadSettings settings_;
    std::vector<double> expertShares_;
    std::vector<double> slowness_;
    std::optional<TimePoint> lastSampleTime_;
};

}
