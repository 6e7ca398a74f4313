#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"
#include "Platform/StoreGeneration.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Damaskgrade {

// A position in the history of the registry.
struct FleetPosition {
    StoreGeneration generation { 0 };
    // Increases with each change of the registry within a generation.
    std::uint64_t revision { 0 };
};

inline bool operator<(const FleetPosition& left, const FleetPosition& right)
{
    return std::tie(left.generation, left.revision) < std::tie(right.generation, right.revision);
}

// The content of the registry at one point in time.
struct FleetSnapshot {
    FleetPosition position;
    std::vector<ServerRecord> servers;
};

struct FleetViewSettings {
    // After this time without a successful read, the registry records of live servers may have expired because the servers
    // could not renew them.
    Duration outageThreshold { std::chrono::milliseconds(2500) };
    // How long missing servers are kept after an outage of the registry. Live servers register again within about two
    // seconds after the registry is available again.
    Duration returnGrace { std::chrono::milliseconds(2300) };
    // How long a new generation may list servers that have left, because it began as a copy.
    Duration copyLifetime { std::chrono::seconds(10) };
    // How long servers that have left are remembered.
    Duration leftMemory { std::chrono::seconds(60) };
};

// Holds the backend servers that the registry lists. A server that is missing right after an outage of the registry is
// kept for a grace period, because its registry record may have expired during the outage. A server that was listed as
// draining, or has stated itself that it leaves, stays draining until it restarts, that is, until its address or start time
// changes.
//
// A new generation of the registry may be a copy some seconds old. Missing servers are kept as after an outage, and
// servers that had left stay away until they restart or the lifetime of the copy has passed.
class FleetView {
public:
    // Called once for each server that starts to drain or is removed without having drained.
    using LeaveObserver = std::function<void(const ServerRecord&)>;

    FleetView(const Clock& clock, FleetViewSettings settings, LeaveObserver onLeave);

    // Applies a snapshot that describes the registry at readAt or later. Returns whether anything changed.
    // A snapshot with a lower position or an earlier time than the last one is ignored.
    bool apply(const FleetSnapshot& snapshot, TimePoint readAt);

    // Records that the server has stated that it leaves. Does nothing and returns false if another start of the server is known
    // by now, or if it is known to drain.
    bool recordLeaving(const ServerStart& server);

    // Returns the servers that have stated that they leave, while the registry does not list them as draining.
    std::vector<ServerStart> statedLeaving() const;

    // Records that a read of the registry failed.
    void recordReadFailure();

    // Returns null for an unknown server.
    const ServerRecord* find(std::string_view id) const;

    // Returns the servers of a service that are not draining.
    std::vector<const ServerRecord*> ready(std::string_view service) const;

    const std::map<std::string, ServerRecord, std::less<>>& servers() const { return servers_; }

    // Returns the last applied snapshot, which is also sent to peers.
    const FleetSnapshot& lastSnapshot() const { return lastSnapshot_; }
    bool hasData() const { return hasData_; }

    // Returns the time of the last snapshot, which describes the registry at this time or later.
    TimePoint asOf() const { return asOf_; }

private:
    struct LeftServer {
        Endpoint address;
        std::int64_t startedAt { 0 };
        TimePoint leftAt;
        bool wasDraining { false };
    };

    bool hasLeft(const ServerRecord& listed, bool& wasDraining);
    void removeOldLeftServers();

    const Clock& clock_;
    FleetViewSettings settings_;
    LeaveObserver onLeave_;
    std::map<std::string, ServerRecord, std::less<>> servers_;
    FleetSnapshot lastSnapshot_;
    bool hasData_ { false };
    TimePoint asOf_;
    // Since when no read has been followed by a successful one, as the time of the last snapshot by then, and the time of
    // the last failure.
    std::optional<TimePoint> outageSince_;
    TimePoint lastFailureAt_;
    TimePoint graceUntil_;
    // Until then, the registry may list servers that have left.
    TimePoint copyUntil_;
    // Servers that have left, by id.
    std::map<std::string, LeftServer, std::less<>> left_;
    // Start times of the servers that have stated that they leave, by id, until the registry lists them as draining or no
    // longer.
    std::map<std::string, std::int64_t> statedLeaving_;
};

}
