#include "ColdServers/ColdServers.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

ColdServers::ColdServers(const Clock& clock, ColdServersSettings settings, LimitLookup limitOf, Observer observer)
    : clock_(clock)
    , settings_(settings)
    , limitOf_(std::move(limitOf))
    , observer_(std::move(observer))
{
}

Duration ColdServers::coldTimeOf(const ServerRecord& server) const
{
    Duration stated = limitOf_(server.service).coldTime;
    return stated > Duration::zero() ? std::min(stated, settings_.maxColdTime) : settings_.defaultColdTime;
}

Duration ColdServers::bounded(std::chrono::milliseconds stated) const
{
    // Compared in milliseconds, because a huge value overflows as a Duration.
    return std::min(stated, std::chrono::duration_cast<std::chrono::milliseconds>(settings_.maxColdTime));
}

ColdServers::Evidence& ColdServers::evidenceOf(const ServerRecord& server)
{
    auto [found, isNew] = evidence_.try_emplace(server.id);
    Evidence& evidence = found->second;
    if (isNew || evidence.startedAt != server.startedAt) {
        bool wasReportedCold = evidence.wasReportedCold;
        evidence = { server.startedAt, clock_.now() + coldTimeOf(server), TimePoint::min(), std::nullopt, wasReportedCold };
    }
    return evidence;
}

void ColdServers::update(const Servers& servers, TimePoint readAt)
{
    for (auto entry = evidence_.begin(); entry != evidence_.end();)
        entry = servers.count(entry->first) == 0 ? evidence_.erase(entry) : std::next(entry);
    for (const auto& [id, server] : servers) {
        if (limitOf_(server.service).requestsPerSecond > 0)
            applyRecord(server, readAt);
    }
    reportChanges(servers);
}

void ColdServers::applyRecord(const ServerRecord& server, TimePoint readAt)
{
    Evidence& evidence = evidenceOf(server);
    if (!server.remainingWarmUp)
        return;
    std::optional<std::chrono::milliseconds> previous = std::exchange(evidence.stated, server.remainingWarmUp);
    TimePoint statedUntil = readAt + bounded(*server.remainingWarmUp);
    // The same record, read again, states no later end. A record that states coldness after that end can't be told from a new
    // statement.
    bool isRepeated = previous == server.remainingWarmUp && *previous > std::chrono::milliseconds::zero();
    if (isRepeated && clock_.now() < evidence.coldUntil)
        return;
    bool isNewer = evidence.coldSince == TimePoint::min() || readAt - evidence.coldSince >= settings_.recordAge;
    evidence.coldUntil = isNewer ? statedUntil : std::max(statedUntil, evidence.coldUntil);
}

void ColdServers::recordResponse(const ServerRecord& server, std::chrono::milliseconds remaining, TimePoint sentAt)
{
    if (limitOf_(server.service).requestsPerSecond <= 0)
        return;
    // The response may be that of an earlier start.
    auto known = evidence_.find(server.id);
    if (known != evidence_.end() && known->second.startedAt != server.startedAt)
        return;
    Evidence& evidence = evidenceOf(server);
    if (remaining <= std::chrono::milliseconds::zero()) {
        if (evidence.coldSince < sentAt)
            evidence.coldUntil = std::min(evidence.coldUntil, clock_.now());
        return;
    }
    TimePoint statedUntil = clock_.now() + bounded(remaining);
    if (evidence.coldUntil <= clock_.now())
        evidence.coldSince = clock_.now();
    evidence.coldUntil = evidence.coldSince < sentAt ? statedUntil : std::max(statedUntil, evidence.coldUntil);
}

void ColdServers::recordEvacuationEnd(std::string_view zone, const Servers& servers)
{
    for (const auto& [id, server] : servers) {
        if (server.availabilityZone != zone || limitOf_(server.service).requestsPerSecond <= 0)
            continue;
        Evidence& evidence = evidenceOf(server);
        evidence.coldSince = clock_.now();
        evidence.coldUntil = std::max(evidence.coldUntil, clock_.now() + coldTimeOf(server));
    }
}

Duration ColdServers::remaining(const ServerRecord& server) const
{
    if (limitOf_(server.service).requestsPerSecond <= 0)
        return Duration::zero();
    auto found = evidence_.find(server.id);
    if (found == evidence_.end() || found->second.startedAt != server.startedAt)
        return coldTimeOf(server);
    return std::max(Duration::zero(), found->second.coldUntil - clock_.now());
}

void ColdServers::reportChanges(const Servers& servers)
{
    std::map<std::pair<std::string, bool>, std::size_t> changes;
    coldCount_ = 0;
    for (auto& [id, evidence] : evidence_) {
        const ServerRecord& server = servers.find(id)->second;
        bool isCold = remaining(server) > Duration::zero();
        coldCount_ += isCold ? 1 : 0;
        if (std::exchange(evidence.wasReportedCold, isCold) != isCold)
            ++changes[{ server.availabilityZone, isCold }];
    }
    for (const auto& [change, count] : changes)
        observer_(change.first, change.second, count);
}

}
