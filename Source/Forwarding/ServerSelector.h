#pragma once

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Fleet/FleetView.h"
#include "Forwarding/InFlightTracker.h"
#include "Forwarding/SelectionRule.h"
#include "Forwarding/ServerRateLimits.h"
#include "Routing/OutlierDetector.h"

#include <gsl/span>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Damaskgrade {

struct ServerSelectorSettings {
    std::string localZone;
    // Requests that are sent to a server beyond its slots, so that the server fills a free slot without
    // waiting for a round trip.
    double queuedPerServer { 1 };
    // Number of slots that is assumed for servers that do not state it.
    std::uint32_t assumedSlots { 8 };
    // Minimum number of servers that are compared, in the local zone and again in all other zones.
    std::size_t minSampleSize { 2 };
    // Added to the number of requests in flight at a server in another zone when servers are compared: bytes between zones
    // are expensive, and the counts of entries in other zones are older.
    double zoneBias { 1 };
    // Time after which a request that is refused because of rate limits should come again, if this entry may not send to any
    // of the servers.
    std::chrono::milliseconds unknownRateLimitWait { 2000 };
    // A service is treated as unavailable after this many consecutive refusals that were not caused by a full
    // server, for example during a group restart.
    std::uint32_t refusalsUntilOutage { 3 };
    // Interval at which an unavailable service is probed with one request.
    std::chrono::milliseconds probeInterval { 60 };
    // A service still counts as unavailable for this time after its first success, so that waiting requests
    // get time to find a server.
    std::chrono::milliseconds recoveryTime { 400 };
    // Time after a pause in which the requests in flight at the server may rise from one to its slots, so that the requests
    // that have waited do not arrive all at once.
    std::chrono::milliseconds pauseRampUpTime { 1000 };
    // Callers whose requests failed in an outage retry within this time after its end.
    std::chrono::milliseconds retrySurgeTime { 5000 };
};

enum class SelectionKind {
    Server,
    // All servers are full, avoided for now or were already tried, or the service refuses all requests.
    Busy,
    // All servers of the service have reached the rate limits that they state, or have asked for a pause.
    RateLimited,
    // Rules exclude all servers of the service for this request.
    Excluded,
    // The registry lists no ready server of the service.
    None,
};

struct ServerSelection {
    SelectionKind kind { SelectionKind::None };
    const ServerRecord* server { nullptr };
    // Time until a server may be sent the next request, and whether a server has asked for it, if the kind is RateLimited. If
    // the kind is Excluded, there is no time unless a rule knows it.
    std::optional<Duration> retryAfter {};
    bool isPause { false };
    // Name of the rule that excludes the last one of the servers, if the kind is Excluded.
    std::string_view excludingRule {};
};

// Selects the backend server for a request: the least loaded one, by the requests that all entries have in flight
// per slot, in a random sample of the servers that are neither avoided nor ejected. The counts of the other entries
// arrive with a delay. Without the sample, all entries would select the same server until the next update.
class ServerSelector {
public:
    ServerSelector(const Clock& clock, const FleetView& fleet, const InFlightTracker& loads, const OutlierDetector& outliers, const ServerRateLimits& rateLimits, Random& random,
        ServerSelectorSettings settings);

    // Adds a rule. Rules are applied in the order in which they were added.
    void addRule(SelectionRule rule) { rules_.push_back(std::move(rule)); }

    ServerSelection select(const ServerSelectionRequest& request);
    ServerSelection select(std::string_view service, gsl::span<const std::string> tried, bool mayQueue) { return select({ service, tried, mayQueue }); }

    // Records that the request is sent to the server.
    void recordSend(const ServerRecord& server, const ServerSelectionRequest& request);

    // Returns whether a rule that is also applied to open connections excludes the server for the request.
    bool isExcludedByNow(const ServerRecord& server, const ServerSelectionRequest& request) const;

    // Sets the numbers of entries that select among the same servers: of all zones, and of the local zone.
    void setEntryCount(std::size_t count, std::size_t localCount);

    // Excludes the server from the selection until this time.
    void avoid(const std::string& serverId, TimePoint until);

    // Sends the server nothing for this time, as it has asked for. Replaces an earlier pause of the server.
    void pause(const ServerRecord& server, Duration duration);

    // Returns whether the server has asked for a pause that has not ended.
    bool isPaused(const ServerRecord& server) const { return pauseLeft(server) > Duration::zero(); }

    // Records that the server responded, so that it is no longer avoided.
    void recordSuccess(const std::string& serverId);

    // Records that the server sent part of a response. This ends an outage of the service.
    void recordProgress(std::string_view service, const std::string& serverId);

    // Records that the server refused a request. Does nothing if the server is full, because such a refusal does not
    // indicate an outage.
    void recordRefusal(std::string_view service, const std::string& serverId);

    // Returns whether the service refuses all requests, has recovered only just now, or has no ready server.
    bool isUnavailable(std::string_view service) const;

    // Returns whether the service is or was recently unavailable, or this entry has started recently. Many callers
    // then retry at once, and a request that waits is served soon.
    bool hadRecentOutage(std::string_view service) const;

    // Returns whether another server of the service has sent part of a response since this time.
    bool hasProgressElsewhere(std::string_view service, std::string_view serverId, TimePoint since) const;

private:
    // When a service last made progress: the server that sent most recently, and the latest time at which a
    // different server sent.
    struct Progress {
        std::string newest;
        TimePoint newestAt;
        TimePoint otherAt;
    };

    // Refusals of the servers of a service since the last success.
    struct Outage {
        std::uint32_t refusalsInRow { 0 };
        TimePoint nextProbe;
        TimePoint recoveringUntil;
    };

    // A pause that a server has asked for. It does not hold for a later start of the server.
    struct Pause {
        std::int64_t startedAt { 0 };
        TimePoint until;
    };

    // The assessments of all rules for one server.
    struct CombinedAssessment {
        const SelectionRule* excludedBy { nullptr };
        std::optional<Duration> retryAfter;
        std::optional<double> capacity;
        double cost { 0 };
    };

    struct Candidate {
        const ServerRecord* server { nullptr };
        double cost { 0 };
    };

    bool isRefusing(const Outage& outage) const { return outage.refusalsInRow >= settings_.refusalsUntilOutage; }

    CombinedAssessment assess(const ServerRecord& server, const ServerSelectionRequest& request) const;
    const ServerRecord* selectBest(gsl::span<const Candidate> candidates);
    void reduceToSample(std::vector<Candidate>& candidates, std::size_t entryCount);
    void endOutage(std::string_view service, Outage& outage);
    double slotsOf(const ServerRecord& server) const;
    double capacityOf(const ServerRecord& server, bool mayQueue) const;
    const Pause* findPause(const ServerRecord& server) const;
    Duration pauseLeft(const ServerRecord& server) const;
    std::optional<Duration> timeUntilSend(const ServerRecord& server) const;
    bool isAvoided(const ServerRecord& server) const;

    const Clock& clock_;
    const FleetView& fleet_;
    const InFlightTracker& loads_;
    const OutlierDetector& outliers_;
    const ServerRateLimits& rateLimits_;
    Random& random_;
    ServerSelectorSettings settings_;
    std::vector<SelectionRule> rules_;
    std::map<std::string, TimePoint, std::less<>> avoidedUntil_;
    std::map<std::string, Pause, std::less<>> pauses_;
    std::map<std::string, Progress, std::less<>> progress_;
    std::map<std::string, Outage, std::less<>> outages_;
    // End of the last outage by service.
    std::map<std::string, TimePoint, std::less<>> outageEndedAt_;
    TimePoint startedAt_;
    std::size_t entryCount_ { 1 };
    std::size_t localEntryCount_ { 1 };
};

}
