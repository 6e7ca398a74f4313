#include "Calls/RetryBudget.h"

#include <algorithm>

namespace Damaskgrade {

RetryBudget::RetryBudget(const Clock& clock, RetryBudgetSettings settings)
    : clock_(clock)
    , settings_(settings)
    , saved_(settings.maxSaved / 2)
    , savedRefused_(settings.maxSaved / 2)
    , floorPaidUntil_(clock.now())
{
}

void RetryBudget::addCall()
{
    deposit(settings_.share);
}

bool RetryBudget::trySpend()
{
    TimePoint now = clock_.now();
    deposit(std::chrono::duration<double>(now - floorPaidUntil_).count() * settings_.floorPerSecond);
    floorPaidUntil_ = now;
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

void RetryBudget::addStarted()
{
    savedRefused_ = std::min(savedRefused_ + settings_.refusedPerStarted, settings_.maxSaved);
}

bool RetryBudget::trySpendRefused()
{
    if (!settings_.hasRefusalAllowance)
        return trySpend();
    if (savedRefused_ < 1)
        return false;
    savedRefused_ -= 1;
    return true;
}

void RetryBudget::deposit(double amount)
{
    saved_ = std::min(saved_ + amount, settings_.maxSaved);
}

}
