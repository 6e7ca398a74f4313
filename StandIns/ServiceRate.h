#pragma once

#include "Core/Clock.h"

#include <optional>

namespace Damaskgrade {

// Simulates a server with a fixed rate and a first-in-first-out queue.
class ServiceRate {
public:
    // A rate of 0 means unlimited. Work whose queueing time would exceed maxWait is rejected.
    ServiceRate(double unitsPerSecond, Duration maxWait);

    // Returns the time from now until the work is finished, or nothing if it is rejected.
    std::optional<Duration> admit(TimePoint now, double units);

private:
    double unitsPerSecond_;
    Duration maxWait_;
    TimePoint busyUntil_ {};
};

}
