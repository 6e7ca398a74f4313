#include "Forwarding/CallerAgeEstimator.h"

#include <algorithm>

namespace Damaskgrade {

std::chrono::milliseconds CallerAgeEstimator::observe(std::string_view route, std::chrono::milliseconds timeLeft)
{
    auto found = longestTimeLeft_.find(route);
    if (found == longestTimeLeft_.end())
        found = longestTimeLeft_.emplace(std::string(route), timeLeft).first;
    found->second = std::max(found->second, timeLeft);
    return found->second - timeLeft;
}

}
