#pragma once

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Fleet/FleetView.h"
#include "Forwarding/LoadBoard.h"
#include "Routing/OutlierDetector.h"

#include <gsl/span>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ServerChooserSettings {
    std::string ownZone;
    // Requests beyond the slots of a server that are sent to it, so that a slot that becomes free is taken
    // up without a round trip.
    double queuedPerServer { 1 };
    // Assumed for servers that do not state their slots.
    std::uint32_t assumedSlots { 8 };
    // A server in another zone is taken if it has this many requests less; ties stay in the zone.
    double zoneBias { 0.5 };
};

enum class ChoiceKind {
    Server,
    // All servers are busy, avoided for now or have been tried.
    Busy,
    // The registry lists no ready server of the service.
    None,
};

struct ServerChoice {
    ChoiceKind kind { ChoiceKind::None };
    const ServerRecord* server { nullptr };
};

// Chooses the backend server of one request: the one with the fewest requests of all entries in flight,
// among those that are neither avoided nor ejected.
class ServerChooser {
public:
    ServerChooser(const Clock& clock, const FleetView& fleet, const LoadBoard& loads, const OutlierDetector& outliers, Random& random,
        ServerChooserSettings settings);

    // Servers in tried are chosen only if there are no others.
    ServerChoice choose(std::string_view service, gsl::span<const std::string> tried);

    // Sends nothing to the server before this time.
    void avoid(const std::string& serverId, TimePoint until);

    // The server has answered, which ends its avoidance.
    void noteHealthy(const std::string& serverId);

    // The server has sent part of a response.
    void noteProgress(std::string_view service, const std::string& serverId);

    // Says whether another server of the service has sent something since then.
    bool hasProgressElsewhere(std::string_view service, std::string_view serverId, TimePoint since) const;

private:
    // The last two servers of a service that have sent something, the newest first.
    struct Progress {
        std::string newest;
        TimePoint newestAt;
        TimePoint otherAt;
    };

    double slotsOf(const ServerRecord& server) const;
    bool isAvoided(const ServerRecord& server) const;

    const Clock& clock_;
    const FleetView& fleet_;
    const LoadBoard& loads_;
    const OutlierDetector& outliers_;
    Random& random_;
    ServerChooserSettings settings_;
    std::map<std::string, TimePoint, std::less<>> avoidedUntil_;
    std::map<std::string, Progress, std::less<>> progress_;
};

}
