#include "Forwarding/ServiceRetryBudget.h"

#include <algorithm>

namespace Damaskgrade {

ServiceRetryBudget::ServiceRetryBudget(const Clock& clock, ServiceRetryBudgetSettings settings)
    : clock_(clock)
    , settings_(settings)
{
}

void ServiceRetryBudget::addRequest(const std::string& service)
{
    Window& window = windows_[service];
    removeExpired(window);
    window.requests.push_back(clock_.now());
}

bool ServiceRetryBudget::trySpend(const std::string& service)
{
    Window& window = windows_[service];
    removeExpired(window);
    double shareOfRequests = settings_.share * static_cast<double>(window.requests.size());
    double shareOfExtra = settings_.extra / static_cast<double>(std::max<std::size_t>(1, entryCount_));
    if (static_cast<double>(window.retries.size() + 1) > settings_.safetyFactor * (shareOfRequests + shareOfExtra))
        return false;
    window.retries.push_back(clock_.now());
    return true;
}

void ServiceRetryBudget::removeExpired(Window& window) const
{
    TimePoint limit = clock_.now() - settings_.window;
    while (!window.requests.empty() && window.requests.front() < limit)
        window.requests.pop_front();
    while (!window.retries.empty() && window.retries.front() < limit)
        window.retries.pop_front();
}

}
