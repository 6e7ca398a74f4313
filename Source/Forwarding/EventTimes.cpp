#include "Forwarding/EventTimes.h"

#include <utility>

namespace Damaskgrade {

Duration EventTimes::record(TimePoint now)
{
    TimePoint previous = std::exchange(lastAt_, now);
    if (++count_ == 1) {
        firstAt_ = now;
        return Duration::zero();
    }
    if (now - previous > longestPause_) {
        longestPause_ = now - previous;
        longestPauseEndedAt_ = now;
    }
    return now - previous;
}

}
