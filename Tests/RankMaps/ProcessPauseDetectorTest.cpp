#include "RankMaps/ProcessPauseDetector.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

// Its two times move apart, as on a machine that was suspended.
class SplitClock : public Clock {
public:
    TimePoint now() const override { return TimePoint(steady); }
    WallTime wallNow() const override { return WallTime(wall); }

    std::chrono::milliseconds steady { 1000 };
    std::chrono::milliseconds wall { 500000 };
};

}

// Guards against a controller that goes on with what it knew before it stood still.
TEST_CASE("a standstill shows in either clock, once")
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
    // The time of day was set back.
    clock.wall -= std::chrono::milliseconds(4000);
    CHECK(!detector.check());
}

}
