#include "Forwarding/RetryAllowance.h"

#include <algorithm>

namespace Damaskgrade {

RetryAllowance::RetryAllowance(const Clock& clock, RetryAllowanceSettings settings)
    : clock_(clock)
    , settings_(settings)
{
}

void RetryAllowance::addRequest(const std::string& service)
{
    Window& window = windows_[service];
    dropOld(window);
    window.requests.push_back(clock_.now());
}

bool RetryAllowance::trySpend(const std::string& service)
{
    Window& window = windows_[service];
    dropOld(window);
    double ofRequests = settings_.share * static_cast<double>(window.requests.size());
    double ofExtra = settings_.extra / static_cast<double>(std::max<std::size_t>(1, entryCount_));
    if (static_cast<double>(window.repeats.size() + 1) > settings_.safety * (ofRequests + ofExtra))
        return false;
    window.repeats.push_back(clock_.now());
    return true;
}

void RetryAllowance::dropOld(Window& window) const
{
    TimePoint limit = clock_.now() - settings_.window;
    while (!window.requests.empty() && window.requests.front() < limit)
        window.requests.pop_front();
    while (!window.repeats.empty() && window.repeats.front() < limit)
        window.repeats.pop_front();
}

}
