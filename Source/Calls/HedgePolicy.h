#pragma once

#include "Core/Clock.h"

#include <optional>
#include <vector>

namespace Damaskgrade {

// Calculates the delay after which an idempotent service call is sent to a second backend server as well (hedged):
// the 95th percentile of the most recent durations.
class HedgePolicy {
public:
    void observe(Duration duration);

    // Returns the delay, or no value before enough durations were observed.
    std::optional<Duration> delay() const;

private:
    std::vector<Duration> window_;
    std::size_t next_ { 0 };
};

}
