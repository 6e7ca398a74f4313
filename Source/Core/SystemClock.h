#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// Reads the clocks of the operating system.
class SystemClock : public Clock {
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

}
