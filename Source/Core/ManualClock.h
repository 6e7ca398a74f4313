#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// A clock that advances only by calls of advance(). Starts at one hour, so that tests can subtract from it.
class ManualClock : public Clock {
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void advance(Duration step);

private:
    Duration elapsed_ { std::chrono::hours(1) };
};

}
