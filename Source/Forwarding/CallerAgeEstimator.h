#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Estimates how long ago a caller asked for the first time. A caller states how long it still waits, and
// states the longest time of its route at the first attempt.
class CallerAgeEstimator {
public:
    // Takes the time left of one attempt, and returns the time since the first one.
    std::chrono::milliseconds observe(std::string_view route, std::chrono::milliseconds timeLeft);

private:
    std::map<std::string, std::chrono::milliseconds, std::less<>> longestTimeLeft_;
};

}
