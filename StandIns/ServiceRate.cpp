#include "StandIns/ServiceRate.h"

#include <algorithm>

namespace Damaskgrade {

ServiceRate::ServiceRate(double unitsPerSecond, Duration maxWait)
    : unitsPerSecond_(unitsPerSecond)
    , maxWait_(maxWait)
{
}

std::optional<Duration> ServiceRate::admit(TimePoint now, double units)
{
    if (unitsPerSecond_ <= 0)
        return Duration::zero();
    TimePoint start = std::max(now, busyUntil_);
    if (start - now > maxWait_)
        return std::nullopt;
    std::chrono::duration<double> service(units / unitsPerSecond_);
    busyUntil_ = start + std::chrono::duration_cast<Duration>(service);
    return busyUntil_ - now;
}

}
