#include "Forwarding/CallerAges.h"

#include <algorithm>

namespace Damaskgrade {

std::chrono::milliseconds CallerAges::observe(std::string_view route, std::chrono::milliseconds timeLeft)
{
    auto found = longest_.find(route);
    if (found == longest_.end())
        found = longest_.emplace(std::string(route), timeLeft).first;
    found->second = std::max(found->second, timeLeft);
    return found->second - timeLeft;
}

}
