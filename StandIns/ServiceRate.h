#pragma once

#include "Core/Clock.h"

#include <optional>

namespace Damaskgrade {

// A server with a fixed rate that handles its work in order of arrival.
class ServiceRate {
public:
    // A rate of zero is unlimited. Work that would wait longer than maxWait is refused.
    ServiceRate(double unitsPerSecond, Duration maxWait);

    // Returns how long from now the work will be finished, or nothing if it is refused.
    std::optional<Duration> admit(TimePoint now, double units);

private:
    double unitsPerSecond_;
    Duration maxWait_;
    TimePoint busyUntil_ {};
};

}
