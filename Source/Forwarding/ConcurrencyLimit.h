#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ConcurrencyLimitSettings {
    // Pauses are averaged over this time before the limit is changed.
    std::chrono::milliseconds window { 200 };
    // Above this share of the target pause the limit falls, below the other one it rises. The rest is for
    // the pass that reads a long prompt.
    double decreaseAbove { 0.95 };
    double increaseBelow { 0.85 };
    // Change of the limit in a window, in requests of a server.
    double decreaseStep { 1 };
    double increaseStep { 0.5 };
    // The limit is never below this share of the slots of a server.
    double minShare { 0.7 };
    // Requests beyond the slots that are sent to a server, so that a slot that becomes free is taken up
    // without a round trip.
    double queued { 1 };
};

// Bounds the requests that a server of a lock-step group runs at once, so that the pauses between events
// stay below the target. All ranks pause for each other, so one limit holds for all servers of a service.
class ConcurrencyLimit {
public:
    ConcurrencyLimit(const Clock& clock, ConcurrencyLimitSettings settings);

    // A stream of the service paused for this long between two events.
    void recordGap(const std::string& service, Duration gap, Duration targetGap);

    // Returns how many requests a server with so many slots may have, waiting ones included.
    double limit(std::string_view service, double slots) const;

private:
    struct State {
        // Requests below the full limit.
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
