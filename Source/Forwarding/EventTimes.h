#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace Damaskgrade {

// When the events of a stream arrived, over all attempts.
class EventTimes {
public:
    // Records an event. Returns the time since the one before it, 0 for the first one.
    Duration record(TimePoint now);

    std::uint32_t count() const { return count_; }
    // The times below are valid if there was an event.
    TimePoint firstAt() const { return firstAt_; }
    TimePoint lastAt() const { return lastAt_; }
    Duration longestPause() const { return longestPause_; }
    // Returns the end of the longest pause. Valid if there was a pause.
    TimePoint longestPauseEndedAt() const { return longestPauseEndedAt_; }

private:
    std::uint32_t count_ { 0 };
    TimePoint firstAt_;
    TimePoint lastAt_;
    Duration longestPause_ { 0 };
    TimePoint longestPauseEndedAt_;
};

}
