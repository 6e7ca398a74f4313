#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

struct RetryBudgetSettings {
    // Number of retries and hedges allowed for each received call.
    double retriesPerCall { 0.2 };
    // Retries per second that are allowed at any call rate, so that an entry with few calls can retry too.
    double minRetriesPerSecond { 1 };
    // Maximum number of unused retries that accumulate. Limits the burst of retries when an outage begins.
    double maxAvailableRetries { 20 };
    // Number of retries after a refusal that are allowed for each attempt that an agent started. Sufficient while
    // up to two thirds of the sends are refused. Limits the sends for each received call to three at any share of
    // refusals.
    double refusalRetriesPerStart { 2 };
    // If false, retries after a refusal use the same budget as all other retries (the baseline of benchCalls).
    bool hasSeparateRefusalBudget { true };
};

// Limits the additional sends (retries and hedges) of one entry to a share of its received calls. Retries after a
// refusal have a separate budget, because a refused call was not executed. Only started attempts add to that budget,
// so that it runs out while all agents refuse.
class RetryBudget {
public:
    RetryBudget(const Clock& clock, RetryBudgetSettings settings = {});

    // Changes the settings. The available retries stay as they are.
    void configure(RetryBudgetSettings settings) { settings_ = settings; }

    // Records a received call, which adds to the budget.
    void recordCall();

    // Takes one retry or hedge from the budget. Returns false if none is available.
    bool trySpend();

    // Records that an agent started an attempt, which adds to the budget for retries after a refusal.
    void recordStarted();

    // Takes one retry from the budget for retries after a refusal. Returns false if none is available.
    bool trySpendAfterRefusal();

private:
    void deposit(double amount);

    const Clock& clock_;
    RetryBudgetSettings settings_;
    double availableRetries_;
    double availableRefusalRetries_;
    TimePoint lastRefillAt_;
};

}
