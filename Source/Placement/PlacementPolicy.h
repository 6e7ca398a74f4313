#pragma once

#include "Core/Clock.h"
#include "Placement/ExpertLoadEstimate.h"

#include <optional>

namespace Damaskgrade {

struct PlacementPolicySettings {
    // How much a second of waiting for the slowest rank counts, and a second of moving experts.
    double skewWeight { 1 };
    double costWeight { 1 };
    // Memory of a rank, in experts.
    std::size_t slotsPerRank { 6 };
    std::uint64_t bytesPerExpert { 256U << 20U };
    double weightStoreBytesPerSecond { 256.0 * (1U << 20U) };
    std::chrono::milliseconds switchStall { 500 };
    // The time for which a change is expected to help.
    std::chrono::seconds horizon { 600 };
    // After a change, the gain that the next one needs is higher and falls back over this time.
    std::chrono::seconds cooldown { 300 };
    double cooldownFactor { 4 };
    // A change that takes longer to load is made in parts, so that the first part helps earlier
    // and the rest is decided with newer load.
    std::chrono::seconds maxLoadTime { 30 };
    // Smallest skew that a change must save. Noise in the reports shows smaller gains all the time,
    // and the change for one of them is undone soon after.
    double minimumGain { 0.025 };
};

struct PlacementDecision {
    ExpertMap map;
    double skewBefore { 1 };
    double skewAfter { 1 };
    std::uint64_t bytes { 0 };
    // Weighted seconds saved over the horizon, and weighted seconds spent.
    double benefit { 0 };
    double cost { 0 };
};

// Decides whether a change of the expert map is worth its cost, and makes the smallest one that is.
class PlacementPolicy {
public:
    explicit PlacementPolicy(const PlacementPolicySettings& settings);

    // Changes the settings; the time of the last change is kept.
    void configure(const PlacementPolicySettings& settings) { settings_ = settings; }

    // Returns the change to make now, or nothing.
    std::optional<PlacementDecision> decide(TimePoint now, const ExpertMap& current, const ExpertLoadEstimate& estimate);

private:
    double requiredBenefitRatio(TimePoint now) const;

    PlacementPolicySettings settings_;
    std::optional<TimePoint> lastChange_;
};

}
