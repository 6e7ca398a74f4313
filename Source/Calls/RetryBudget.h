#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

struct RetryBudgetSettings {
    // Retries and hedges allowed for each received call.
    double share { 0.2 };
    // Retries per second that are allowed at any rate of calls, so that an idle entry can retry at all.
    double floorPerSecond { 1 };
    // Largest number of saved retries, which bounds the burst when an outage begins.
    double maxSaved { 20 };
};

// Bounds the extra sends of one entry to a share of the calls that it received.
class RetryBudget {
public:
    RetryBudget(const Clock& clock, RetryBudgetSettings settings = {});

    // Changes the settings from now on; what is saved stays.
    void configure(RetryBudgetSettings settings) { settings_ = settings; }

    void addCall();

    // Returns whether one more send is allowed, and takes it from the budget.
    bool trySpend();

private:
    void deposit(double amount);

    const Clock& clock_;
    RetryBudgetSettings settings_;
    double saved_;
    TimePoint floorPaidUntil_;
};

}
