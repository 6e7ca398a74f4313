#pragma once

#include "Core/Clock.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Damaskgrade {

struct ServiceRetryBudgetSettings {
    // Retries to a service in a window, as a share of its requests in that window.
    double share { 0.2 };
    // Additional retries in a window, over all entries together.
    double extra { 60 };
    std::chrono::milliseconds window { 10000 };
    // Share of the budget that is used, so that the entries together stay below the budget even while they
    // disagree on the number of entries.
    double safetyFactor { 0.75 };
};

// Limits the retries to each service in a sliding window, over all entries together. Each entry uses an equal
// part of the additional retries, so that no message between entries is needed for a retry.
class ServiceRetryBudget {
public:
    ServiceRetryBudget(const Clock& clock, ServiceRetryBudgetSettings settings);

    // Replaces the settings. Requests and retries that are already in the window still count.
    void configure(ServiceRetryBudgetSettings settings) { settings_ = settings; }

    // Sets the number of entries that share the additional retries.
    void setEntryCount(std::size_t count) { entryCount_ = count; }

    // Records that a caller's request for the service arrived.
    void addRequest(const std::string& service);

    // Returns whether one more retry is allowed, and counts it if so.
    bool trySpend(const std::string& service);

private:
    struct Window {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void removeExpired(Window& window) const;

    const Clock& clock_;
    ServiceRetryBudgetSettings settings_;
    std::size_t entryCount_ { 1 };
    std::map<std::string, Window> windows_;
};

}
