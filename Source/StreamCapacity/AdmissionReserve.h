#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace Damaskgrade {

struct AdmissionReserveSettings {
    // Time constant of the rates of sends.
    std::chrono::milliseconds memory { 2000 };
    // A request that found no room is taken to wait still for this time. Waiting requests are tried every 50 ms.
    std::chrono::milliseconds waitingTime { 60 };
};

// The urgency of a request: more urgent routes first, and requests that can be on time before late ones.
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

private:
    using Key = std::pair<std::int32_t, bool>;

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
