#pragma once

#include "Core/Clock.h"
#include "Placement/ExpertLoadEstimate.h"

#include <optional>

namespace Damaskgrade {

struct PlacementPolicySettings {
    // Weights of benefit and cost: of a second less of waiting for the slowest rank, and of a second of loading
    // experts or switching maps.
    double skewWeight { 1 };
    double costWeight { 1 };
    // The number of experts that fit into the memory of a rank.
    std::size_t slotsPerRank { 6 };
    std::uint64_t bytesPerExpert { 256U << 20U };
    double weightStoreBytesPerSecond { 256.0 * (1U << 20U) };
    // The time for which a switch stops the group.
    std::chrono::milliseconds switchStall { 500 };
    // The time for which a change is expected to reduce the skew.
    std::chrono::seconds horizon { 600 };
    // After a change, the benefit of the next change must exceed its cost by cooldownFactor. The factor
    // decreases linearly to 1 over this time.
    std::chrono::seconds cooldown { 300 };
    double cooldownFactor { 4 };
    // A change that takes longer to load is split, so that the first part takes effect earlier and the
    // rest is decided with newer load.
    std::chrono::seconds maxLoadTime { 30 };
    // The minimum decrease of the skew for a change. Noise in the reports constantly suggests smaller
    // gains, and a change for such a gain is reverted soon after.
    double minimumGain { 0.025 };
};

// A change of the expert map, with its expected effect.
struct PlacementDecision {
    ExpertMap map;
    double skewBefore { 1 };
    double skewAfter { 1 };
    // Weights to load, in bytes.
    std::uint64_t bytes { 0 };
    // The weighted time saved over the horizon, and the weighted time that the change costs, in seconds.
    double benefit { 0 };
    double cost { 0 };
};

// Decides whether a change of the expert map is worth its cost, and selects the change with the highest
// net benefit.
class PlacementPolicy {
public:
    explicit PlacementPolicy(const PlacementPolicySettings& settings);

    // Replaces the settings and keeps the time of the last change.
    void configure(const PlacementPolicySettings& settings) { settings_ = settings; }

    // Returns the change to make now, or nullopt. A returned change counts as made: the cooldown starts.
    std::optional<PlacementDecision> decide(TimePoint now, const ExpertMap& current, const ExpertLoadEstimate& estimate);

private:
    double requiredBenefitRatio(TimePoint now) const;

    PlacementPolicySettings settings_;
    std::optional<TimePoint> lastChange_;
};

}
