#include "Calls/RetryBudget.h"

#include <algorithm>

namespace Damaskgrade {

RetryBudget::RetryBudget(const Clock& clock, RetryBudgetSettings settings)
    : clock_(clock)
    , settings_(settings)
    , availableRetries_(settings.maxAvailableRetries / 2)
    , availableRefusalRetries_(settings.maxAvailableRetries / 2)
    , lastRefillAt_(clock.now())
{
}

void RetryBudget::recordCall()
{
    deposit(settings_.retriesPerCall);
}

bool RetryBudget::trySpend()
{
    TimePoint now = clock_.now();
    deposit(std::chrono::duration<double>(now - lastRefillAt_).count() * settings_.minRetriesPerSecond);
    lastRefillAt_ = now;
    if (availableRetries_ < 1)
        return false;
    availableRetries_ -= 1;
    return true;
}

void RetryBudget::recordStarted()
{
    availableRefusalRetries_ = std::min(availableRefusalRetries_ + settings_.refusalRetriesPerStart, settings_.maxAvailableRetries);
}

bool RetryBudget::trySpendAfterRefusal()
{
    if (!settings_.hasSeparateRefusalBudget)
        return trySpend();
    if (availableRefusalRetries_ < 1)
        return false;
    availableRefusalRetries_ -= 1;
    return true;
}

void RetryBudget::deposit(double amount)
{
    availableRetries_ = std::min(availableRetries_ + amount, settings_.maxAvailableRetries);
}

}
