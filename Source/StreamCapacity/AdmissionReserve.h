#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace Damaskgrade {

struct AdmissionReserveSettings {
    // Time constant of the rates of sends.
    Duration memory { 0 };
    // A request that found no room is taken to wait still for this time, which is longer than the time after which it is tried
    // again.
    Duration waitingTime { 0 };
};

// The urgency of a request: requests that can be on time before late ones, and among them more urgent routes first. Where late
// requests of urgent routes came before others that can be on time, 10 to 16 in 100 fewer were on time in the simulation.
struct RequestUrgency {
    std::int32_t priority { 0 };
    bool isLate { false };
};

// Determines how much room less urgent requests leave for more urgent ones. It follows from the requests that wait and from the
// recent sends, so that nothing is held free for requests that do not come.
class AdmissionReserve {
public:
    AdmissionReserve(const Clock& clock, AdmissionReserveSettings settings);

    void recordSend(RequestUrgency urgency);

    // Records that a request has found no room.
    void recordWaiting(RequestUrgency urgency);

    // Returns the number of more urgent requests to leave room for: those that wait, and those that usually come within the time,
    // with one standard deviation.
    double reservedFor(RequestUrgency urgency, Duration time) const;

    // Returns the expected time until there is room for a request, from the rate of the sends that were not more urgent. Empty if
    // there were none recently.
    std::optional<Duration> expectedRoom(RequestUrgency urgency) const;

private:
    using Key = std::pair<bool, std::int32_t>;

    struct Demand {
        TimePoint updatedAt;
        double perSecond { 0 };
        std::optional<TimePoint> waitedAt {};
    };

    double decay(TimePoint since) const;

    const Clock& clock_;
    AdmissionReserveSettings settings_;
    // More urgent ones come first.
    std::map<Key, Demand> demands_;
};

}
