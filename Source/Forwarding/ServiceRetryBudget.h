#pragma once

#include "Core/Clock.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Damaskgrade {

struct ServiceRetryBudgetSettings {
    // Repeated sends to a service in a window, as a share of its requests in that window.
    double share { 0.2 };
    // Repeated sends in a window beyond the share, summed over all entries.
    double extra { 60 };
    std::chrono::milliseconds window { 10000 };
    // Part of the allowance that is used, so that entries that disagree on their number stay below it together.
    double safetyFactor { 0.75 };
};

// Bounds the repeated sends to each service in a sliding window that all entries share. Each entry takes
// its part by the number of entries, so that no message is needed for a request.
class ServiceRetryBudget {
public:
    ServiceRetryBudget(const Clock& clock, ServiceRetryBudgetSettings settings);

    // Changes the settings from now on; what was spent in the window still counts.
    void configure(ServiceRetryBudgetSettings settings) { settings_ = settings; }

    // Number of entries that share the extra sends.
    void setEntryCount(std::size_t count) { entryCount_ = count; }

    // A caller's request for the service arrived.
    void addRequest(const std::string& service);

    // Returns whether one more repeated send is allowed, and counts it.
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
