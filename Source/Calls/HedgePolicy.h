#pragma once

#include "Core/Clock.h"

#include <optional>
#include <vector>

namespace Damaskgrade {

// Decides after what time an idempotent lookup is sent to a second backend server:
// the 95th percentile of the last observed durations.
class HedgePolicy {
public:
    void observe(Duration duration);

    // Returns no value until enough durations were observed.
    std::optional<Duration> delay() const;

private:
    std::vector<Duration> window_;
    std::size_t next_ { 0 };
};

}
