#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Damaskgrade {

// The arrival of an engine that is ready for its next step.
struct BarrierArrival {
    std::string engine;
    // The last step that the engine has finished. Ignored if isFresh is set.
    std::uint64_t lastStep { 0 };
    // The version of the map that the engine uses in its next step.
    std::uint64_t mapVersion { 0 };
    // The engine has restarted and not run any step since.
    bool isFresh { false };
};

// The response to an arrival: either the step to run, or the state of the group, which a restarted engine applies
// before it arrives again.
struct BarrierResponse {
    // The engine must apply the step and the map instead of running a step.
    bool mustApplyState { false };
    // The step to run, or the last step of the group if mustApplyState is set.
    std::uint64_t step { 0 };
    std::uint64_t mapVersion { 0 };
};

// Keeps the engines of a group in lock-step: no engine begins a step before all engines have finished the previous one.
// It has no state that has to survive a restart, because the engines count the steps.
class StepBarrier {
public:
    using Handler = std::function<void(const BarrierResponse&)>;

    // engines is the number of engines of the group.
    explicit StepBarrier(std::size_t engines);

    // Adds an arrival, which replaces a pending one of the same engine, and returns its number. The handler is called with
    // the response once all engines have arrived.
    std::uint64_t arrive(const BarrierArrival& arrival, Handler handler);

    // Removes a pending arrival, because the engine has closed its connection. Does nothing if it is not pending.
    void removeArrival(std::uint64_t number);

    // Returns the number of steps for which engines arrived with different expert maps. Unless it is 0, the map switch is
    // faulty.
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
