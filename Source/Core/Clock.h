#pragma once

#include <chrono>

namespace Damaskgrade {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Gives the current time. Passed in wherever time matters, so that tests control it.
class Clock {
public:
    virtual ~Clock() = default;

    // Returns monotonic time, for intervals, leases and deadlines.
    virtual TimePoint now() const = 0;

    // Returns wall-clock time, for logs, the time line, and to notice that the machine was suspended.
    virtual WallTime wallNow() const = 0;
};

}
