#pragma once

#include "Fleet/FleetView.h"

#include <functional>
#include <optional>

namespace Damaskgrade {

// Interface of the registry in which backend servers register themselves.
class FleetSource {
public:
    virtual ~FleetSource() = default;

    // Reads the complete registry and calls done with the snapshot, or with nothing if the read fails.
    virtual void read(std::function<void(std::optional<FleetSnapshot>)> done) = 0;
};

}
