#include "StandIns/StepBarrier.h"

#include <utility>
#include <vector>

namespace Damaskgrade {

StepBarrier::StepBarrier(std::size_t engines)
    : engines_(engines)
{
}

std::uint64_t StepBarrier::arrive(const BarrierArrival& arrival, Handler handler)
{
    // Destroying the handler of the replaced arrival may call removeArrival, so the handler must outlive the change of
    // the map.
    PendingArrival replaced = std::exchange(pendingArrivals_[arrival.engine], { arrival, std::move(handler), ++lastNumber_ });
    std::uint64_t number = lastNumber_;
    if (pendingArrivals_.size() >= engines_)
        release();
    return number;
}

void StepBarrier::removeArrival(std::uint64_t number)
{
    for (auto position = pendingArrivals_.begin(); position != pendingArrivals_.end(); ++position) {
        if (position->second.number != number)
            continue;
        pendingArrivals_.erase(position);
        return;
    }
}

void StepBarrier::release()
{
    const BarrierArrival* mostAdvancedArrival = findMostAdvanced();
    BarrierArrival reference = mostAdvancedArrival ? *mostAdvancedArrival : pendingArrivals_.begin()->second.arrival;
    if (mostAdvancedArrival && respondToStragglers(reference))
        return;
    std::map<std::string, PendingArrival> released = std::move(pendingArrivals_);
    pendingArrivals_.clear();
    std::uint64_t step = mostAdvancedArrival ? reference.lastStep + 1 : 1;
    bool isMixed = false;
    for (const auto& [engine, pending] : released)
        isMixed = isMixed || pending.arrival.mapVersion != reference.mapVersion;
    mixedMapSteps_ += isMixed ? 1 : 0;
    for (const auto& [engine, pending] : released)
        pending.handler({ false, step, pending.arrival.mapVersion });
}

// Returns the arrival with the highest step among engines that haven't restarted, or null if all have.
const BarrierArrival* StepBarrier::findMostAdvanced() const
{
    const BarrierArrival* best = nullptr;
    for (const auto& [engine, pending] : pendingArrivals_) {
        bool isBetter = !pending.arrival.isFresh && (!best || pending.arrival.lastStep > best->lastStep);
        if (isBetter)
            best = &pending.arrival;
    }
    return best;
}

// Responds to engines that are behind the group: restarted engines apply the state of the group, and engines whose last
// response was lost run the step that the others have already finished. Returns whether there were any.
bool StepBarrier::respondToStragglers(const BarrierArrival& reference)
{
    std::vector<std::pair<Handler, BarrierResponse>> responses;
    for (auto position = pendingArrivals_.begin(); position != pendingArrivals_.end();) {
        const BarrierArrival& arrival = position->second.arrival;
        if (!arrival.isFresh && arrival.lastStep == reference.lastStep) {
            ++position;
            continue;
        }
        BarrierResponse response { true, reference.lastStep, reference.mapVersion };
        if (!arrival.isFresh)
            response = { false, arrival.lastStep + 1, arrival.mapVersion };
        responses.emplace_back(position->second.handler, response);
        position = pendingArrivals_.erase(position);
    }
    for (const auto& [handler, response] : responses)
        handler(response);
    return !responses.empty();
}

}
