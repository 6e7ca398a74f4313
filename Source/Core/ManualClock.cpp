#include "Core/ManualClock.h"

namespace Damaskgrade {

TimePoint ManualClock::now() const
{
    return TimePoint(elapsed_);
}

WallTime ManualClock::wallNow() const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(elapsed_));
}

void ManualClock::advance(Duration step)
{
    elapsed_ += step;
}

}
