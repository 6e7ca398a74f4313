#pragma once

#include <chrono>

namespace Damaskgrade {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Provides the current time. Passed to all code that depends on time, so that tests can control it.
class Clock {
public:
    virtual ~Clock() = default;

    // Returns monotonic time, for intervals, leases and deadlines.
    virtual TimePoint now() const = 0;

    // Returns wall-clock time, for logs and the timeline, and to detect that the machine was suspended.
    virtual WallTime wallNow() const = 0;
};

}
