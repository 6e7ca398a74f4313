#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace Damaskgrade {

// A hybrid logical time: the upper 48 bits are wall-clock milliseconds since 1970, the lower 16 a counter.
using HybridTime = std::uint64_t;

// Orders the events of all processes so that the receipt of a message always follows its sending.
class HybridClock {
public:
    explicit HybridClock(const Clock& clock);

    // Returns the time of a local event or of a message that is sent now.
    HybridTime tick();

    // Advances the clock to the time of a received message. Times more than one minute ahead are ignored,
    // so that one process with a wrong clock does not advance all others.
    void observe(HybridTime remote);

private:
    HybridTime wallTime() const;

    const Clock& clock_;
    HybridTime last_ { 0 };
};

}
