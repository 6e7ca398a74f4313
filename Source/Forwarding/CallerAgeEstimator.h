#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Estimates how long ago a caller sent the first attempt of a request. An attempt here is one of the caller, not a send
// to a backend server. Each attempt states the time left until the caller's deadline. The first attempt states the
// longest time, so the longest one seen on a route is taken as the time that callers of the route state at first.
class CallerAgeEstimator {
public:
    // Records the time left that a caller's attempt states. Returns the estimated time since the caller's first attempt.
    std::chrono::milliseconds observe(std::string_view route, std::chrono::milliseconds timeLeft);

private:
    std::map<std::string, std::chrono::milliseconds, std::less<>> longestTimeLeft_;
};

}
