#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Number of requests in flight by the id of the backend server.
using InFlightCounts = std::map<std::string, std::uint32_t, std::less<>>;

// Counts the requests in flight at each backend server from this entry and its peers.
class InFlightTracker {
public:
    // Reports of peers older than maxReportAge are ignored.
    InFlightTracker(const Clock& clock, Duration maxReportAge);

    void started(const std::string& serverId);
    void finished(const std::string& serverId);

    // Replaces the counts that the peer reported before.
    void setPeerCounts(const std::string& peer, InFlightCounts counts);

    // Returns the number of requests that this entry and its peers have in flight at the server.
    double inFlight(std::string_view serverId) const;
    const InFlightCounts& localCounts() const { return localCounts_; }

    // Number of changes of the local counts, so that sums over them need not be computed again without a change.
    std::uint64_t localChanges() const { return localChanges_; }

private:
    struct PeerReport {
        InFlightCounts counts;
        TimePoint receivedAt;
    };

    const Clock& clock_;
    Duration maxReportAge_;
    InFlightCounts localCounts_;
    std::uint64_t localChanges_ { 0 };
    std::map<std::string, PeerReport> peers_;
};

}
