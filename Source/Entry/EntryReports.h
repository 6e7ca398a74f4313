#pragma once

#include "Configuration/MemberState.h"
#include "Core/Endpoint.h"
#include "Entry/CallService.h"
#include "Entry/MapService.h"
#include "Membership/Membership.h"
#include "Transport/HttpServer.h"
#include "Transport/Link.h"

#include <string>
#include <vector>

namespace Damaskgrade {

struct EntryCounters {
    const CallService* calls { nullptr };
    const MapService* maps { nullptr };
    const HttpServerCounters* http { nullptr };
    LinkCounters peerClients;
    LinkCounters peerServer;
    LinkCounters agents;
    std::uint64_t configurationVersion { 0 };
    bool isAdmitting { false };
};

// Returns the metrics of an entry in the Prometheus text format.
std::string entryMetrics(const EntryCounters& counters);

struct EntryStatus {
    std::string name;
    std::string incarnation;
    std::string availabilityZone;
    bool isDraining { false };
    Admission admission;
    std::size_t activeCalls { 0 };
    std::vector<PeerStatus> peers;
    // The model groups, as a JSON array.
    std::string groups;
    const BackendServerTable* servers { nullptr };
    const OutlierDetector* outliers { nullptr };
};

// Returns the status of an entry for operators, as JSON.
std::string entryStatusJson(const EntryStatus& status);

// Returns {"addresses": ["IP:port", ...]}.
std::string addressesJson(const std::vector<Endpoint>& addresses);

}
