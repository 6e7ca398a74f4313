#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ConcurrencyLimitSettings {
    // Gaps between events are averaged over this time before the limit is changed.
    std::chrono::milliseconds window { 200 };
    // The limit is decreased if the mean gap exceeds decreaseAbove times the target gap, and increased if it
    // is below increaseBelow times the target gap. Both are below 1, because a pass that processes a long prompt takes
    // longer than the mean.
    double decreaseAbove { 0.95 };
    double increaseBelow { 0.85 };
    // Change of the limit after a window, in requests per server.
    double decreaseStep { 1 };
    double increaseStep { 0.5 };
    // The limit is never below this share of the slots of a server.
    double minShare { 0.7 };
    // Requests that are sent to a server beyond its slots, so that the server fills a free slot
    // without waiting for a round trip.
    double queued { 1 };
};

// Limits the concurrent requests of a server in a lock-step group, so that the gaps between events stay below
// the target. Each rank waits for all others in a pass, so one limit applies to all servers of a service.
class ConcurrencyLimit {
public:
    ConcurrencyLimit(const Clock& clock, ConcurrencyLimitSettings settings);

    // Records the gap between two events of a stream of the service.
    void recordGap(const std::string& service, Duration gap, Duration targetGap);

    // Returns how many requests, running and queued, a server with the given number of slots may have.
    double limit(std::string_view service, double slots) const;

private:
    struct State {
        // Number of requests by which the limit is reduced.
        double reduction { 0 };
        Duration gaps { 0 };
        Duration targetGaps { 0 };
        TimePoint windowStart;
    };

    void adjust(State& state) const;

    const Clock& clock_;
    ConcurrencyLimitSettings settings_;
    std::map<std::string, State, std::less<>> states_;
};

}
