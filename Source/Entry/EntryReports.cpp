#include "Entry/EntryReports.h"

#include "Metrics/LinkMetrics.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

const char* peerStateName(PeerState state)
{
    switch (state) {
    case PeerState::Unknown:
        return "unknown";
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspected:
        return "suspected";
    }
    return "unknown";
}

void addCallMetrics(MetricsPage& page, const CallService& calls)
{
    const CallServiceCounters& counters = calls.counters();
    page.addCounter("damaskgrade_calls_received_total", "Calls received from callers", static_cast<double>(counters.received));
    page.addCounter("damaskgrade_calls_sent_total", "Calls sent to agents, retries and hedges included", static_cast<double>(counters.sent));
    page.addGauge("damaskgrade_calls_active", "Calls without a final outcome", static_cast<double>(calls.activeCalls()));
    for (const auto& [code, count] : counters.outcomes)
        page.addCounter("damaskgrade_call_outcomes_total", "Final outcomes by result code", static_cast<double>(count), { { "code", std::string(resultName(code)) } });
    for (const auto& [executed, count] : counters.executed)
        page.addCounter("damaskgrade_call_executed_total", "Final outcomes by whether the call was executed", static_cast<double>(count), { { "executed", std::string(executedName(executed)) } });
    const ClaimStoreCounters& claims = calls.claimCounters();
    page.addCounter("damaskgrade_claim_writes_total", "Write transactions for claims", static_cast<double>(claims.writes));
    page.addCounter("damaskgrade_claim_rows_total", "Claim rows written", static_cast<double>(claims.rowsWritten));
    page.addCounter("damaskgrade_claim_reads_total", "Claim rows read", static_cast<double>(claims.reads));
    page.addCounter("damaskgrade_claim_lost_acknowledgements_total", "Claim writes without an acknowledgement", static_cast<double>(claims.lostAcknowledgements));
}

Json peerJson(const PeerStatus& peer)
{
    Json json;
    json["slot"] = peer.slot;
    json["state"] = peerStateName(peer.state);
    json["draining"] = peer.isDraining;
    json["removed"] = peer.isRemoved;
    if (peer.age != Duration::max())
        json["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(peer.age).count();
    return json;
}

Json serverJson(const BackendServer& server, const OutlierDetector& outliers)
{
    Json json;
    json["name"] = server.name;
    json["serves"] = server.serves;
    json["group"] = server.group;
    json["availability_zone"] = server.availabilityZone;
    json["connected"] = server.isConnected;
    json["draining"] = server.isDraining;
    json["ejected"] = outliers.isEjected(server.name);
    json["tickets"] = server.ticketsHeld;
    json["calls_in_flight"] = server.callsInFlight.size();
    json["running"] = server.load.running;
    json["queued"] = server.load.queued;
    return json;
}

}

std::string entryMetrics(const EntryCounters& counters)
{
    MetricsPage page;
    addCallMetrics(page, *counters.calls);
    counters.maps->addMetrics(page);
    page.addGauge("damaskgrade_configuration_version", "Configuration version in force", static_cast<double>(counters.configurationVersion));
    page.addGauge("damaskgrade_admitting", "Whether new work is admitted", counters.isAdmitting ? 1 : 0);
    addLinkMetrics(page, counters.peerClients, "peer client");
    addLinkMetrics(page, counters.peerServer, "peer server");
    addLinkMetrics(page, counters.agents, "agents");
    addHttpMetrics(page, *counters.http);
    addProcessMetrics(page);
    return page.text();
}

std::string entryStatusJson(const EntryStatus& status)
{
    Json json;
    json["name"] = status.name;
    json["incarnation"] = status.incarnation;
    json["availability_zone"] = status.availabilityZone;
    json["draining"] = status.isDraining;
    json["admitting"] = status.admission.isAllowed && !status.isDraining;
    json["configuration_version"] = status.admission.version;
    json["reason"] = status.admission.reason;
    json["active_calls"] = status.activeCalls;
    json["peers"] = Json::array();
    for (const PeerStatus& peer : status.peers)
        json["peers"].push_back(peerJson(peer));
    json["groups"] = Json::parse(status.groups);
    json["backend_servers"] = Json::array();
    for (const auto& [name, server] : status.servers->servers())
        json["backend_servers"].push_back(serverJson(server, *status.outliers));
    return json.dump();
}

std::string addressesJson(const std::vector<Endpoint>& addresses)
{
    Json list = Json::array();
    for (const Endpoint& address : addresses)
        list.push_back(formatEndpoint(address));
    return Json { { "addresses", list } }.dump();
}

}
