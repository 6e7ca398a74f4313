#include "Forwarding/ConcurrencyLimit.h"

#include <algorithm>

namespace Damaskgrade {

ConcurrencyLimit::ConcurrencyLimit(const Clock& clock, ConcurrencyLimitSettings settings)
    : clock_(clock)
    , settings_(settings)
{
}

void ConcurrencyLimit::notePause(const std::string& service, Duration pause, Duration target)
{
    if (target <= Duration::zero())
        return;
    State& state = states_.emplace(service, State { 0, Duration::zero(), Duration::zero(), clock_.now() }).first->second;
    // A stalled group says nothing of the limit.
    state.pauses += std::min(pause, 2 * target);
    state.targets += target;
    if (clock_.now() - state.windowStart >= settings_.window)
        adjust(state);
}

double ConcurrencyLimit::limit(std::string_view service, double slots) const
{
    auto found = states_.find(service);
    double reduction = found == states_.end() ? 0 : found->second.reduction;
    return std::max(slots * settings_.minShare, slots + settings_.queued - reduction);
}

void ConcurrencyLimit::adjust(State& state) const
{
    double used = std::chrono::duration<double>(state.pauses) / std::chrono::duration<double>(state.targets);
    // Without events for a long time nothing is known of the load.
    bool isOld = clock_.now() - state.windowStart > 5 * settings_.window;
    if (isOld)
        state.reduction = 0;
    else if (used > settings_.fallAbove)
        state.reduction += settings_.fallStep;
    else if (used < settings_.riseBelow)
        state.reduction = std::max(0.0, state.reduction - settings_.riseStep);
    state.reduction = std::min(state.reduction, 16.0);
    state.pauses = Duration::zero();
    state.targets = Duration::zero();
    state.windowStart = clock_.now();
}

}
