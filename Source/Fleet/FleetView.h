#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// The registry as a whole at one moment.
struct FleetSnapshot {
    // Rises with each change of the registry.
    std::uint64_t revision { 0 };
    std::vector<ServerRecord> servers;
};

struct FleetViewSettings {
    // After this time without a successful read, entries may have lapsed with the registry itself.
    Duration outageThreshold { std::chrono::milliseconds(2500) };
    // Lapsed entries of live servers are back within about two seconds of the registry's return.
    Duration returnGrace { std::chrono::milliseconds(2300) };
};

// The backend servers that the registry lists. A server that is missing right after an outage of the
// registry is kept for a grace period, because its entry may have lapsed meanwhile. A server that was
// seen draining never becomes ready again under the same id and address.
class FleetView {
public:
    // Called with the id of a server that was removed or began to drain.
    using LeaveObserver = std::function<void(const ServerRecord&)>;

    FleetView(const Clock& clock, FleetViewSettings settings, LeaveObserver onLeave);

    // Takes a snapshot that was read no earlier than readAt. Returns whether anything changed.
    // A snapshot with a lower revision than one seen before is ignored.
    bool apply(const FleetSnapshot& snapshot, TimePoint readAt);

    // A read of the registry failed.
    void recordReadFailure();

    // Returns null for an unknown server.
    const ServerRecord* find(std::string_view id) const;

    // Returns the servers of a service that are not draining.
    std::vector<const ServerRecord*> ready(std::string_view service) const;

    const std::map<std::string, ServerRecord, std::less<>>& servers() const { return servers_; }

    // The servers of the last snapshot, in the form that peers exchange.
    const FleetSnapshot& lastSnapshot() const { return lastSnapshot_; }
    bool hasData() const { return hasData_; }

    // The last snapshot described the registry at this time or later.
    TimePoint asOf() const { return asOf_; }

private:
    const Clock& clock_;
    FleetViewSettings settings_;
    LeaveObserver onLeave_;
    std::map<std::string, ServerRecord, std::less<>> servers_;
    FleetSnapshot lastSnapshot_;
    bool hasData_ { false };
    bool hasReadFailed_ { false };
    TimePoint asOf_;
    TimePoint graceUntil_;
};

}
