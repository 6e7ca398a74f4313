#include "Routing/BackendServerTable.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

// Weight of the newest call in the moving average of call times.
constexpr double callTimeWeight = 0.1;

// Bounds the memory used for a server that sends no load reports while its calls end.
constexpr std::size_t maximumEndedCalls = 1024;

Duration movingAverage(Duration mean, Duration sample)
{
    if (mean == Duration::zero())
        return sample;
    return mean + std::chrono::duration_cast<Duration>((sample - mean) * callTimeWeight);
}

}

BackendServerTable::BackendServerTable(const Clock& clock)
    : clock_(clock)
{
}

void BackendServerTable::connected(const HelloMessage& hello)
{
    BackendServer& server = servers_[hello.name];
    if (server.incarnation != hello.incarnation) {
        BackendServerTraits traits = std::move(server.traits);
        server = BackendServer();
        server.traits = std::move(traits);
    }
    server.name = hello.name;
    server.incarnation = hello.incarnation;
    server.kind = hello.engineKind == "application" ? BackendServerKind::Application : BackendServerKind::Model;
    server.serves = hello.serves;
    server.group = hello.group;
    server.availabilityZone = hello.availabilityZone;
    server.isConnected = true;
    server.ticketsHeld = 0;
    server.connectedAt = clock_.now();
    server.lastSeen = server.connectedAt;
}

void BackendServerTable::disconnected(std::string_view name)
{
    BackendServer* server = findMutable(name);
    if (!server)
        return;
    server->isConnected = false;
    server->ticketsHeld = 0;
    server->hasLoad = false;
    server->endedSinceReport.clear();
}

void BackendServerTable::remove(std::string_view name)
{
    std::map<std::string, BackendServer, std::less<>>::iterator found = servers_.find(name);
    if (found != servers_.end())
        servers_.erase(found);
}

void BackendServerTable::setTraits(std::string_view name, BackendServerTraits traits)
{
    BackendServer& server = servers_[std::string(name)];
    server.name = std::string(name);
    server.traits = std::move(traits);
}

void BackendServerTable::ticketsReceived(std::string_view name, const TicketsMessage& message)
{
    BackendServer* server = findMutable(name);
    if (!server)
        return;
    server->lastSeen = clock_.now();
    server->isDraining = message.isDraining;
    // A draining agent revokes its unspent tickets.
    server->ticketsHeld = message.isDraining ? 0 : server->ticketsHeld + message.count;
    TimePoint takenAt = clock_.now() - message.load.age;
    // A delayed report must not replace a newer one.
    if (server->hasLoad && takenAt < server->loadTakenAt)
        return;
    server->hasLoad = true;
    server->load = message.load;
    server->loadTakenAt = takenAt;
    while (!server->endedSinceReport.empty() && server->endedSinceReport.front().endedAt <= takenAt)
        server->endedSinceReport.pop_front();
}

void BackendServerTable::setTicketsHeld(std::string_view name, std::size_t count)
{
    BackendServer* server = findMutable(name);
    if (server)
        server->ticketsHeld = count;
}

void BackendServerTable::setDraining(std::string_view name, bool isDraining)
{
    BackendServer* server = findMutable(name);
    if (server)
        server->isDraining = isDraining;
}

void BackendServerTable::setSuspected(std::string_view name, bool isSuspected)
{
    BackendServer* server = findMutable(name);
    if (server)
        server->isSuspected = isSuspected;
}

void BackendServerTable::callStarted(std::string_view name, const std::string& callId)
{
    BackendServer* server = findMutable(name);
    if (!server)
        return;
    if (server->ticketsHeld > 0)
        --server->ticketsHeld;
    server->callsInFlight[callId] = clock_.now();
}

void BackendServerTable::callProgressed(std::string_view name)
{
    BackendServer* server = findMutable(name);
    if (server)
        server->lastSeen = clock_.now();
}

void BackendServerTable::callEnded(std::string_view name, const std::string& callId)
{
    BackendServer* server = findMutable(name);
    if (!server)
        return;
    std::unordered_map<std::string, TimePoint>::iterator call = server->callsInFlight.find(callId);
    if (call == server->callsInFlight.end())
        return;
    TimePoint now = clock_.now();
    server->meanCallTime = movingAverage(server->meanCallTime, now - call->second);
    server->endedSinceReport.push_back({ call->second, now });
    if (server->endedSinceReport.size() > maximumEndedCalls)
        server->endedSinceReport.pop_front();
    server->callsInFlight.erase(call);
}

const BackendServer* BackendServerTable::find(std::string_view name) const
{
    std::map<std::string, BackendServer, std::less<>>::const_iterator found = servers_.find(name);
    return found == servers_.end() ? nullptr : &found->second;
}

std::size_t BackendServerTable::ticketsHeld(std::string_view serves) const
{
    std::size_t total = 0;
    for (const auto& [name, server] : servers_) {
        if (server.serves == serves && server.isConnected && !server.isDraining)
            total += server.ticketsHeld;
    }
    return total;
}

BackendServer* BackendServerTable::findMutable(std::string_view name)
{
    std::map<std::string, BackendServer, std::less<>>::iterator found = servers_.find(name);
    return found == servers_.end() ? nullptr : &found->second;
}

std::size_t callsFromPeerEntries(const BackendServer& server)
{
    if (!server.hasLoad)
        return 0;
    std::size_t localCallsAtReport = 0;
    for (const auto& [callId, startedAt] : server.callsInFlight) {
        if (startedAt <= server.loadTakenAt)
            ++localCallsAtReport;
    }
    for (const EndedCall& call : server.endedSinceReport) {
        if (call.startedAt <= server.loadTakenAt && call.endedAt > server.loadTakenAt)
            ++localCallsAtReport;
    }
    std::size_t reported = std::size_t { server.load.running } + server.load.queued;
    return reported - std::min(reported, localCallsAtReport);
}

std::size_t expectedCalls(const BackendServer& server)
{
    return server.callsInFlight.size() + callsFromPeerEntries(server);
}

}
