#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ColdServersSettings {
    // A registry record, and so its statement, is at most this old when it is read: servers write it once in this time.
    Duration recordAge { std::chrono::milliseconds(1200) };
    // How long a server of a service with a limit is cold where the catalog does not state it.
    Duration defaultColdTime { std::chrono::seconds(3) };
    // A longer stated time is treated as this one, so that a wrong value does not limit a server for good.
    Duration maxColdTime { std::chrono::minutes(10) };
};

// The limit of a service for its cold servers.
struct ColdLimit {
    // Requests per second that a cold server takes from all entries together. 0 for no limit.
    double requestsPerSecond { 0 };
    // 0 if it is not stated.
    Duration coldTime { 0 };
};

// Until when the backend servers are cold, by the evidence of this entry. Servers of services without a limit are never cold.
//
// A server is cold until evidence states otherwise: from its first sight or new start for the cold time of its service, and for
// the same time after an evacuation of its zone. Registry records and responses state the remaining time. A statement shortens
// the time only if it was made after the evidence that it contradicts.
class ColdServers {
public:
    using LimitLookup = std::function<ColdLimit(std::string_view service)>;
    // Called with the number of servers of an availability zone that have become cold or warm since the last update.
    using Observer = std::function<void(const std::string& zone, bool isCold, std::size_t count)>;
    using Servers = std::map<std::string, ServerRecord, std::less<>>;

    ColdServers(const Clock& clock, ColdServersSettings settings, LimitLookup limitOf, Observer observer);

    // Applies the servers that a read of the registry lists, which began at readAt, and removes the others.
    void update(const Servers& servers, TimePoint readAt);

    // Applies the time that a response to a request sent at sentAt states.
    void recordResponse(const ServerRecord& server, std::chrono::milliseconds remaining, TimePoint sentAt);

    // Records that the evacuation of the zone has ended.
    void recordEvacuationEnd(std::string_view zone, const Servers& servers);

    // Returns how long the server is still cold; 0 if it is warm or its service has no limit.
    Duration remaining(const ServerRecord& server) const;

    // Returns the limit of the server's service.
    ColdLimit limitOf(const ServerRecord& server) const { return limitOf_(server.service); }

    // Returns the number of cold servers as of the last update.
    std::size_t coldCount() const { return coldCount_; }

private:
    struct Evidence {
        std::int64_t startedAt { 0 };
        TimePoint coldUntil;
        // When the newest event happened that made the server cold.
        TimePoint coldSince;
        // What the registry stated last.
        std::optional<std::chrono::milliseconds> stated;
        bool wasReportedCold { false };
    };

    Duration coldTimeOf(const ServerRecord& server) const;
    Duration bounded(std::chrono::milliseconds stated) const;
    // Returns the evidence of this start of the server; a start without any is cold from now on.
    Evidence& evidenceOf(const ServerRecord& server);
    void applyRecord(const ServerRecord& server, TimePoint readAt);
    void reportChanges(const Servers& servers);

    const Clock& clock_;
    ColdServersSettings settings_;
    LimitLookup limitOf_;
    Observer observer_;
    std::map<std::string, Evidence, std::less<>> evidence_;
    std::size_t coldCount_ { 0 };
};

}
