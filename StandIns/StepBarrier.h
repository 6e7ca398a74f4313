#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Damaskgrade {

// An engine that is ready for its next step.
struct BarrierArrival {
    std::string engine;
    // The last step that it has finished. Not used if it is fresh.
    std::uint64_t lastStep { 0 };
    // The map that it will use in its next step.
    std::uint64_t mapVersion { 0 };
    // It has restarted and has run no step since.
    bool isFresh { false };
};

// The answer to an arrival: either a step to run, or what a restarted engine takes over before it arrives again.
struct BarrierResponse {
    bool mustApplyState { false };
    // The step to run, or the last step of the group.
    std::uint64_t step { 0 };
    std::uint64_t mapVersion { 0 };
};

// Keeps the engines of a group in lock-step: no engine gets a step before all have finished the one before.
// It keeps no state that a restart would lose; the steps are counted by the engines.
class StepBarrier {
public:
    using Handler = std::function<void(const BarrierResponse&)>;

    explicit StepBarrier(std::size_t engines);

    // Replaces an earlier arrival of the same engine. Returns the number of this arrival.
    std::uint64_t arrive(const BarrierArrival& arrival, Handler handler);

    // The engine has closed its connection before the answer.
    void removeArrival(std::uint64_t number);

    // Steps for which engines arrived with different expert maps. Any above zero is a fault of the map switch.
    std::uint64_t mixedMapSteps() const { return mixedMapSteps_; }

private:
    struct PendingArrival {
        BarrierArrival arrival;
        Handler handler;
        std::uint64_t number { 0 };
    };

    void release();
    const BarrierArrival* findMostAdvanced() const;
    bool respondToStragglers(const BarrierArrival& reference);

    std::size_t engines_;
    std::map<std::string, PendingArrival> pendingArrivals_;
    std::uint64_t lastNumber_ { 0 };
    std::uint64_t mixedMapSteps_ { 0 };
};

}
