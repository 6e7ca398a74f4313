#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

struct RetryBudgetSettings {
    // Retries and hedges allowed for each received call.
    double retriesPerCall { 0.2 };
    // Retries per second that are allowed at any rate of calls, so that an idle entry can retry at all.
    double minimumRetriesPerSecond { 1 };
    // Largest number of saved retries, which bounds the burst when an outage begins.
    double maxAvailableRetries { 20 };
    // Retries after a refusal that are allowed for each send that an agent started. Enough while up to two
    // thirds of the sends are refused, and bounds the sends for a received call to three at any share of refusals.
    double refusalRetriesPerStart { 2 };
    // If false, retries after a refusal spend from the same budget as all others (the baseline of benchCalls).
    bool hasSeparateRefusalBudget { true };
};

// Bounds the extra sends of one entry to a share of the calls that it received. Retries after a refusal,
// which cost no execution, have an allowance of their own. Only started sends pay for it, so that it
// ends while all agents refuse.
class RetryBudget {
public:
    RetryBudget(const Clock& clock, RetryBudgetSettings settings = {});

    // Changes the settings from now on; what is saved stays.
    void configure(RetryBudgetSettings settings) { settings_ = settings; }

    void recordCall();

    // Returns whether one more send is allowed, and takes it from the budget.
    bool trySpend();

    // An agent started a call that was sent.
    void recordStarted();

    // Returns whether one more send is allowed after a refusal, and takes it from the allowance.
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
