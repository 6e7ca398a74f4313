#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// Moving averages of the service time of one unit of work and of its deviation.
class ServiceTimeEstimate {
public:
    // The assumed time holds until the first observation.
    explicit ServiceTimeEstimate(Duration assumed);

    // The size is the work of the call relative to the usual call.
    void observe(Duration serviceTime, double size);

    Duration mean(double size) const;
    Duration deviation(double size) const;

private:
    bool isObserved_ { false };
    // Both in seconds for size 1.
    double mean_;
    double deviation_;
};

}
