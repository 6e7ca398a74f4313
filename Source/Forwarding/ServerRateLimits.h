#pragma once

#include "Core/Clock.h"
#include "Forwarding/RateLimitReport.h"

#include <cstddef>
#include <functional>
#include <gsl/span>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct ServerRateLimitsSettings {
    // The number of entries that send to a server with a limit is at most this plus the limit per second, since each of them
    // can send one request at any moment.
    double extraSenders { 2 };
    // A lower limit is treated as this one, so that the end of the limit is noticed.
    double minPerSecond { 0.1 };
    // A limit is forgotten if no response has confirmed it for this time, or for the time of six requests if that is longer.
    Duration expiryTime { std::chrono::seconds(30) };
    // An unchanged limit gets a new version after this time, so that the other entries do not forget it.
    Duration refreshTime { std::chrono::seconds(5) };
    // Changes are reported in every message for this time, other limits in turn.
    Duration newsTime { std::chrono::seconds(1) };
    std::size_t maxNewsPerReport { 32 };
    std::size_t maxOthersPerReport { 2 };
};

// Keeps the requests of all entries together below the rate limits that servers state in their responses.
//
// A limit is divided without messages: rendezvous hashing selects the entries that send to the server, few enough that
// their simultaneous requests stay within the limit, and each of them spaces its requests evenly. Entries that are known but
// silent count as well, since they may still send.
class ServerRateLimits {
public:
    // Called when a server states another limit than before, or none; perSecond is 0 then.
    using Observer = std::function<void(const std::string& serverId, double perSecond, bool isLocal)>;

    ServerRateLimits(const Clock& clock, std::string entryName, ServerRateLimitsSettings settings, Observer observer);

    // Sets the names of all entries that may send, except for this one.
    void setPeers(std::vector<std::string> names);

    // Records the limit that a response states, or that it states none, for a request that was sent at sentAt.
    void recordResponse(const std::string& serverId, std::optional<double> perSecond, TimePoint sentAt);

    // Returns how long this entry has to wait before it sends to the server, 0 if it may send now. Returns std::nullopt if
    // the limit is divided among other entries.
    std::optional<Duration> timeUntilSend(std::string_view serverId) const;

    // Records a request to the server, also one that fails.
    void recordSend(const std::string& serverId);

    // Removes what is known of a server.
    void forget(const std::string& serverId) { limits_.erase(serverId); }

    // Returns what to tell the other entries now. Successive calls report the unchanged limits in turn.
    std::vector<RateLimitReport> nextReports();

    void applyReports(gsl::span<const RateLimitReport> reports);

    // Returns the number of servers with a limit.
    std::size_t limitCount() const;

private:
    struct Limit {
        std::uint64_t version { 0 };
        // 0 if the server states no limit any more.
        double perSecond { 0 };
        TimePoint confirmedAt;
        TimePoint changedAt;
        TimePoint nextSendAt;
        // Number of entries that send to the server, and whether this entry is one of them.
        std::size_t senders { 1 };
        bool isSender { true };
    };

    void change(const std::string& serverId, Limit& limit, double perSecond, bool isLocal);
    void selectSenders(const std::string& serverId, Limit& limit) const;
    Duration interval(const Limit& limit) const;
    bool isExpired(const Limit& limit) const;

    const Clock& clock_;
    std::string entryName_;
    ServerRateLimitsSettings settings_;
    Observer observer_;
    std::vector<std::string> peers_;
    std::map<std::string, Limit, std::less<>> limits_;
    // The server after which nextReports() continues.
    std::string reportedServer_;
};

}
