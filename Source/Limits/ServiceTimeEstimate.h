#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// Moving averages of the service time per unit of work and of its absolute deviation from the mean.
class ServiceTimeEstimate {
public:
    // The assumed time is used until the first observation.
    explicit ServiceTimeEstimate(Duration assumed);

    // Records the service time of a call. The size is its work relative to an average call.
    void observe(Duration serviceTime, double size);

    Duration mean(double size) const;
    Duration deviation(double size) const;

private:
    bool isObserved_ { false };
    // Both in seconds, for size 1.
    double mean_;
    double deviation_;
};

}
