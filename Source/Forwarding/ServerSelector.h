#pragma once

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Fleet/FleetView.h"
#include "Forwarding/InFlightTracker.h"
#include "Routing/OutlierDetector.h"

#include <gsl/span>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct ServerSelectorSettings {
    std::string localZone;
    // Requests beyond the slots of a server that are sent to it, so that a slot that becomes free is taken
    // up without a round trip.
    double queuedPerServer { 1 };
    // Assumed for servers that do not state their slots.
    std::uint32_t assumedSlots { 8 };
    // Servers of the own zone, and as many of the others, that are compared at least.
    std::size_t minSampleSize { 2 };
    // A server in another zone is taken if it has this many requests less; ties stay in the zone.
    double zoneBias { 0.5 };
    // After this many refusals in a row, none of them for want of a slot, a service counts as out of order,
    // for example because its group is forming anew.
    std::uint32_t refusalsUntilOutage { 3 };
    // A service that is out of order is tried with one request in this time.
    std::chrono::milliseconds probeInterval { 60 };
    // After its first success, requests that waited for the service are given this time to find a server.
    std::chrono::milliseconds recoveryTime { 400 };
    // Callers that were cut off in an outage come back for this time after it.
    std::chrono::milliseconds retrySurgeTime { 5000 };
};

enum class SelectionKind {
    Server,
    // All servers are busy, avoided for now or have been tried.
    Busy,
    // The registry lists no ready server of the service.
    None,
};

struct ServerSelection {
    SelectionKind kind { SelectionKind::None };
    const ServerRecord* server { nullptr };
};

// Chooses the backend server of one request: the one with the fewest requests of all entries in flight, among a
// random part of those that are neither avoided nor ejected. Each entry hears of the requests of the others with
// a delay; if all entries took the best of all servers, they would all take the same one meanwhile.
class ServerSelector {
public:
    ServerSelector(const Clock& clock, const FleetView& fleet, const InFlightTracker& loads, const OutlierDetector& outliers, Random& random,
        ServerSelectorSettings settings);

    // Servers in tried are chosen only if there are no others. Servers without a free slot are chosen only if
    // the request may queue there.
    ServerSelection select(std::string_view service, gsl::span<const std::string> tried, bool mayQueue);

    // Number of entries that choose beside each other.
    void setEntryCount(std::size_t count) { entryCount_ = count; }

    // Sends nothing to the server before this time.
    void avoid(const std::string& serverId, TimePoint until);

    // The server has answered, which ends its avoidance.
    void recordSuccess(const std::string& serverId);

    // The server has sent part of a response.
    void recordProgress(std::string_view service, const std::string& serverId);

    // The server refused a request.
    void recordRefusal(std::string_view service, const std::string& serverId);

    // Says whether the service refuses all requests, has just begun to answer again, or has no ready server.
    bool isUnavailable(std::string_view service) const;

    // Says whether the service, or this entry, was out of order a short time ago, so that many callers come back
    // at once and are served soon if they wait.
    bool hadRecentOutage(std::string_view service) const;

    // Says whether another server of the service has sent something since then.
    bool hasProgressElsewhere(std::string_view service, std::string_view serverId, TimePoint since) const;

private:
    // The last two servers of a service that have sent something, the newest first.
    struct Progress {
        std::string newest;
        TimePoint newestAt;
        TimePoint otherAt;
    };

    // How the servers of a service have answered since the last success.
    struct Outage {
        std::uint32_t refusalsInRow { 0 };
        TimePoint nextProbe;
        TimePoint recoveringUntil;
    };

    bool isRefusing(const Outage& outage) const { return outage.refusalsInRow >= settings_.refusalsUntilOutage; }

    void reduceToSample(std::vector<const ServerRecord*>& servers);
    void endOutage(std::string_view service, Outage& outage);
    double slotsOf(const ServerRecord& server) const;
    bool isAvoided(const ServerRecord& server) const;

    const Clock& clock_;
    const FleetView& fleet_;
    const InFlightTracker& loads_;
    const OutlierDetector& outliers_;
    Random& random_;
    ServerSelectorSettings settings_;
    std::map<std::string, TimePoint, std::less<>> avoidedUntil_;
    std::map<std::string, Progress, std::less<>> progress_;
    std::map<std::string, Outage, std::less<>> outages_;
    // When the last outage of a service ended.
    std::map<std::string, TimePoint, std::less<>> outageEndedAt_;
    TimePoint startedAt_;
    std::size_t entryCount_ { 1 };
};

}
