#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Forwarding/ServerSelector.h"
#include "PrefixAffinity/PrefixAffinity.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class AffinityPolicy {
    None,
    // Any holder is preferred to all other servers.
    AlwaysHolder,
    // The first part's servers in the order of their hashes, the first one whose load is below 1.25 times the mean.
    BoundedHashing,
    Weighing,
};

struct AffinityScenario {
    std::string name;
    std::size_t servers { 8 };
    std::size_t gateways { 4 };
    double requestsPerSecond { 16 };
    // Number of shared prefixes, their length, and the exponent of their popularity: 0 for uniform.
    std::size_t prefixes { 300 };
    std::uint32_t sharedTokens { 6000 };
    double skew { 0 };
    // Share of the requests that have the first prefix, in addition to its popularity.
    double hotShare { 0 };
    Duration retention { std::chrono::seconds(10) };
    double tokenCapacity { 411666 };
    // Interval at which one server after another restarts. Zero for never.
    Duration restartInterval { 0 };
    // Share of the servers' actual time of retention that the gateways are told.
    double statedRetention { 1 };
    std::uint64_t seed { 1 };
};

struct AffinityResult {
    // Means in milliseconds; a request that no server took within one second counts as refused.
    double firstEvent { 0 };
    double complete { 0 };
    double refusedShare { 0 };
    // Share of the shared tokens that were held.
    double heldShare { 0 };
};

// Plays a scenario on a manual clock with a fixed seed: gateways with the real server selection, whose counts of each other
// are up to 200 ms old, and engines that read prompts in chunks, execute passes and retain prompts.
AffinityResult playAffinity(const AffinityScenario& scenario, AffinityPolicy policy);

// The published figures of the engines in the simulation.
EngineModel simulatedEngine(const AffinityScenario& scenario);

}
