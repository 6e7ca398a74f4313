#pragma once

#include "Fleet/FleetView.h"

#include <functional>
#include <optional>

namespace Damaskgrade {

// Where backend servers register themselves.
class FleetSource {
public:
    virtual ~FleetSource() = default;

    // Passes on the whole registry, or nothing if it can't be read.
    virtual void read(std::function<void(std::optional<FleetSnapshot>)> done) = 0;
};

}
