#include "Core/SystemClock.h"

namespace Damaskgrade {

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

}
