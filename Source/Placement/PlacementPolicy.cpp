#include "Placement/PlacementPolicy.h"

#include "Placement/MapSearch.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

double secondsOf(std::chrono::duration<double> duration)
{
    return duration.count();
}

}

PlacementPolicy::PlacementPolicy(const PlacementPolicySettings& settings)
    : settings_(settings)
{
}

// Returns the factor by which the benefit must exceed the cost. It is raised after a change, because an
// oscillating load would otherwise move the same experts repeatedly.
double PlacementPolicy::requiredBenefitRatio(TimePoint now) const
{
    if (!lastChange_)
        return 1;
    double cooldownFraction = secondsOf(now - *lastChange_) / secondsOf(settings_.cooldown);
    return std::max(1.0, settings_.cooldownFactor - (settings_.cooldownFactor - 1) * cooldownFraction);
}

std::optional<PlacementDecision> PlacementPolicy::decide(TimePoint now, const ExpertMap& current, const ExpertLoadEstimate& estimate)
{
    if (!estimate.hasData())
        return std::nullopt;
    MapSearch search(current, estimate.forecast(), estimate.slowness(), settings_.slotsPerRank);
    PlacementDecision best;
    best.skewBefore = search.skew();
    double secondsPerExpert = static_cast<double>(settings_.bytesPerExpert) / settings_.weightStoreBytesPerSecond;
    double benefitRatio = requiredBenefitRatio(now);
    double bestNetBenefit = 0;
    std::size_t replicaLoads = 0;
    std::size_t maxReplicaLoads = static_cast<std::size_t>(std::max(2.0, secondsOf(settings_.maxLoadTime) / secondsPerExpert));
    while (replicaLoads < maxReplicaLoads) {
        std::size_t added = search.improve();
        if (added == 0)
            break;
        replicaLoads += added;
        double benefit = settings_.skewWeight * secondsOf(settings_.horizon) * (best.skewBefore - search.skew());
        double cost = settings_.costWeight * (static_cast<double>(replicaLoads) * secondsPerExpert + secondsOf(settings_.switchStall));
        if (benefit - benefitRatio * cost <= bestNetBenefit)
            continue;
        bestNetBenefit = benefit - benefitRatio * cost;
        best.map = search.map(current.version() + 1);
        best.skewAfter = search.skew();
        best.benefit = benefit;
        best.cost = cost;
    }
    if (bestNetBenefit <= 0 || best.skewBefore - best.skewAfter < settings_.minimumGain)
        return std::nullopt;
    best.bytes = bytesToLoad(current, best.map, settings_.bytesPerExpert);
    lastChange_ = now;
    return best;
}

}
