#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace Damaskgrade {

// A hybrid logical time: the upper 48 bits are wall-clock milliseconds since 1970, the lower 16 a counter.
using HybridTime = std::uint64_t;

// Orders events of all processes so that a message is always received after it was sent.
class HybridClock {
public:
    explicit HybridClock(const Clock& clock);

    // Returns the time of a local event or of a message that is sent now.
    HybridTime tick();

    // Takes in the time of a received message. Times over one minute ahead are ignored,
    // so that one process with a wrong clock does not move all others.
    void observe(HybridTime remote);

private:
    HybridTime wallTime() const;

    const Clock& clock_;
    HybridTime last_ { 0 };
};

}
