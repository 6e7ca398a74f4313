#include "StreamCapacity/AdmissionReserve.h"

#include <cmath>

namespace Damaskgrade {

AdmissionReserve::AdmissionReserve(const Clock& clock, AdmissionReserveSettings settings)
    : clock_(clock)
    , settings_(settings)
{
}

void AdmissionReserve::recordSend(RequestUrgency urgency)
{
    Demand& demand = demands_.emplace(Key { urgency.isLate, urgency.priority }, Demand { clock_.now() }).first->second;
    demand.perSecond = demand.perSecond * decay(demand.updatedAt) + 1 / std::chrono::duration<double>(settings_.memory).count();
    demand.updatedAt = clock_.now();
    demand.waitedAt.reset();
}

void AdmissionReserve::recordWaiting(RequestUrgency urgency)
{
    demands_.emplace(Key { urgency.isLate, urgency.priority }, Demand { clock_.now() }).first->second.waitedAt = clock_.now();
}

double AdmissionReserve::reservedFor(RequestUrgency urgency, Duration time) const
{
    double expected = 0;
    double waiting = 0;
    Key own { urgency.isLate, urgency.priority };
    for (auto entry = demands_.begin(); entry != demands_.end() && entry->first < own; ++entry) {
        const Demand& demand = entry->second;
        expected += demand.perSecond * decay(demand.updatedAt) * std::chrono::duration<double>(time).count();
        if (demand.waitedAt && clock_.now() - *demand.waitedAt < settings_.waitingTime)
            ++waiting;
    }
    return waiting + expected + std::sqrt(expected);
}

std::optional<Duration> AdmissionReserve::expectedRoom(RequestUrgency urgency) const
{
    constexpr double minPerSecond = 0.1;
    double perSecond = 0;
    for (auto entry = demands_.lower_bound({ urgency.isLate, urgency.priority }); entry != demands_.end(); ++entry)
        perSecond += entry->second.perSecond * decay(entry->second.updatedAt);
    if (perSecond < minPerSecond)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
}

double AdmissionReserve::decay(TimePoint since) const
{
    return std::exp(-std::chrono::duration<double>(clock_.now() - since) / std::chrono::duration<double>(settings_.memory));
}

}
