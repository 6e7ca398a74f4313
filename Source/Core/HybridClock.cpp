#include "Core/HybridClock.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr int counterBits = 16;
constexpr std::chrono::milliseconds maxClockSkew { 60000 };

}

HybridClock::HybridClock(const Clock& clock)
    : clock_(clock)
{
}

HybridTime HybridClock::tick()
{
    last_ = std::max(last_ + 1, wallTime());
    return last_;
}

void HybridClock::observe(HybridTime remote)
{
    HybridTime limit = wallTime() + (static_cast<HybridTime>(maxClockSkew.count()) << counterBits);
    if (remote <= limit)
        last_ = std::max(last_, remote);
}

HybridTime HybridClock::wallTime() const
{
    auto sinceEpoch = clock_.wallNow().time_since_epoch();
    std::chrono::milliseconds elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
    return static_cast<HybridTime>(elapsed.count()) << counterBits;
}

}
