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
    // The handler of an earlier arrival may withdraw it when it is destroyed, so it outlives the change.
    Waiting replaced = std::exchange(waiting_[arrival.engine], { arrival, std::move(handler), ++lastNumber_ });
    std::uint64_t number = lastNumber_;
    if (waiting_.size() >= engines_)
        release();
    return number;
}

void StepBarrier::withdraw(std::uint64_t number)
{
    for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
        if (entry->second.number != number)
            continue;
        waiting_.erase(entry);
        return;
    }
}

void StepBarrier::release()
{
    const BarrierArrival* found = mostAdvanced();
    BarrierArrival reference = found ? *found : waiting_.begin()->second.arrival;
    if (found && answerStragglers(reference))
        return;
    std::map<std::string, Waiting> released = std::move(waiting_);
    waiting_.clear();
    std::uint64_t step = found ? reference.lastStep + 1 : 1;
    bool isMixed = false;
    for (const auto& [engine, waiting] : released)
        isMixed = isMixed || waiting.arrival.mapVersion != reference.mapVersion;
    mixedMapSteps_ += isMixed ? 1 : 0;
    for (const auto& [engine, waiting] : released)
        waiting.handler({ false, step, waiting.arrival.mapVersion });
}

// Returns the arrival with the highest step, or null if all engines have restarted.
const BarrierArrival* StepBarrier::mostAdvanced() const
{
    const BarrierArrival* best = nullptr;
    for (const auto& [engine, waiting] : waiting_) {
        bool isBetter = !waiting.arrival.isFresh && (!best || waiting.arrival.lastStep > best->lastStep);
        if (isBetter)
            best = &waiting.arrival;
    }
    return best;
}

// Lets restarted engines take over the step of the group, and engines whose last answer was lost
// run the step that the others have finished. Returns whether there were any.
bool StepBarrier::answerStragglers(const BarrierArrival& reference)
{
    std::vector<std::pair<Handler, BarrierAnswer>> answers;
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        const BarrierArrival& arrival = entry->second.arrival;
        if (!arrival.isFresh && arrival.lastStep == reference.lastStep) {
            ++entry;
            continue;
        }
        BarrierAnswer answer { true, reference.lastStep, reference.mapVersion };
        if (!arrival.isFresh)
            answer = { false, arrival.lastStep + 1, arrival.mapVersion };
        answers.emplace_back(entry->second.handler, answer);
        entry = waiting_.erase(entry);
    }
    for (const auto& [handler, answer] : answers)
        handler(answer);
    return !answers.empty();
}

}
