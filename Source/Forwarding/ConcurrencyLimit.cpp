#include "Forwarding/ConcurrencyLimit.h"

#include <algorithm>

namespace Damaskgrade {

ConcurrencyLimit::ConcurrencyLimit(const Clock& clock, ConcurrencyLimitSettings settings)
    : clock_(clock)
    , settings_(settings)
{
}

void ConcurrencyLimit::recordGap(const std::string& service, Duration gap, Duration targetGap)
{
    if (targetGap <= Duration::zero())
        return;
    State& state = states_.emplace(service, State { 0, Duration::zero(), Duration::zero(), clock_.now() }).first->second;
    // Long gaps come from a stalled group rather than from its load, so they are capped.
    state.gaps += std::min(gap, 2 * targetGap);
    state.targetGaps += targetGap;
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
    double gapRatio = std::chrono::duration<double>(state.gaps) / std::chrono::duration<double>(state.targetGaps);
    // After a long time without events, the recorded gaps do not reflect the current load.
    bool isOutdated = clock_.now() - state.windowStart > 5 * settings_.window;
    if (isOutdated)
        state.reduction = 0;
    else if (gapRatio > settings_.decreaseAbove)
        state.reduction += settings_.decreaseStep;
    else if (gapRatio < settings_.increaseBelow)
        state.reduction = std::max(0.0, state.reduction - settings_.increaseStep);
    state.reduction = std::min(state.reduction, 16.0);
    state.gaps = Duration::zero();
    state.targetGaps = Duration::zero();
    state.windowStart = clock_.now();
}

}
