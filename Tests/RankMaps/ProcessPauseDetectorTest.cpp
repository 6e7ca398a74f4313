#include "RankMaps/ProcessPauseDetector.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

// A clock whose steady time and wall time can be advanced separately, as on a machine that was suspended.
class SplitClock : public Clock {
public:
    TimePoint now() const override { return TimePoint(steady); }
    WallTime wallNow() const override { return WallTime(wall); }

    std::chrono::milliseconds steady { 1000 };
    std::chrono::milliseconds wall { 500000 };
};

}

// Guards against a controller that continues with the state from before a process pause.
TEST_CASE("a process pause is detected by either clock, once")
{
    SplitClock clock;
    ProcessPauseDetector detector(clock, std::chrono::milliseconds(800));
    clock.steady += std::chrono::milliseconds(700);
    clock.wall += std::chrono::milliseconds(700);
    CHECK(!detector.check());
    clock.steady += std::chrono::milliseconds(900);
    clock.wall += std::chrono::milliseconds(900);
    CHECK(detector.check());
    CHECK(!detector.check());
    clock.steady += std::chrono::milliseconds(30);
    clock.wall += std::chrono::milliseconds(4000);
    CHECK(detector.check());
    // The wall clock is set back.
    clock.wall -= std::chrono::milliseconds(4000);
    CHECK(!detector.check());
}

}
