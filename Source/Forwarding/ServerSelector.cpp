#include "Forwarding/ServerSelector.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace Damaskgrade {

ServerSelector::ServerSelector(const Clock& clock, const FleetView& fleet, const InFlightTracker& loads, const OutlierDetector& outliers, const ServerRateLimits& rateLimits, Random& random,
    ServerSelectorSettings settings)
    : clock_(clock)
    , fleet_(fleet)
    , loads_(loads)
    , outliers_(outliers)
    , rateLimits_(rateLimits)
    , random_(random)
    , settings_(std::move(settings))
    , startedAt_(clock.now())
{
}

ServerSelection ServerSelector::select(std::string_view service, gsl::span<const std::string> tried, bool mayQueue)
{
    std::vector<const ServerRecord*> ready = fleet_.ready(service);
    if (ready.empty())
        return {};
    auto outage = outages_.find(service);
    bool isProbe = outage != outages_.end() && isRefusing(outage->second);
    if (isProbe && clock_.now() < outage->second.nextProbe)
        return { SelectionKind::Busy, nullptr };
    auto isTried = [tried](const ServerRecord* server) { return std::find(tried.begin(), tried.end(), server->id) != tried.end(); };
    bool haveAllBeenTried = std::all_of(ready.begin(), ready.end(), isTried);
    bool areAllEjected = std::all_of(ready.begin(), ready.end(), [this](const ServerRecord* server) { return outliers_.isEjected(server->id); });
    std::vector<const ServerRecord*> localServers;
    std::vector<const ServerRecord*> remoteServers;
    std::size_t limitedServers = 0;
    std::optional<Duration> shortestWait;
    for (const ServerRecord* server : ready) {
        std::optional<Duration> wait = timeUntilSend(*server);
        if (!wait || *wait > Duration::zero()) {
            ++limitedServers;
            if (wait)
                shortestWait = std::min(*wait, shortestWait.value_or(*wait));
            continue;
        }
        if ((!haveAllBeenTried && isTried(server)) || isAvoided(*server))
            continue;
        double share = areAllEjected ? 1 : outliers_.admissionShare(server->id);
        if (share <= 0 || (share < 1 && random_.fraction() > share))
            continue;
        if (loads_.inFlight(server->id) >= capacityOf(*server, mayQueue))
            continue;
        (server->availabilityZone == settings_.localZone ? localServers : remoteServers).push_back(server);
    }
    reduceToSample(localServers, localEntryCount_);
    reduceToSample(remoteServers, entryCount_);
    localServers.insert(localServers.end(), remoteServers.begin(), remoteServers.end());
    const ServerRecord* best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (const ServerRecord* server : localServers) {
        double zonePenalty = server->availabilityZone == settings_.localZone ? 0 : settings_.zoneBias;
        double score = (loads_.inFlight(server->id) + zonePenalty + random_.fraction() * 0.1) / slotsOf(*server);
        if (score < bestScore) {
            bestScore = score;
            best = server;
        }
    }
    if (limitedServers == ready.size()) {
        bool isPause = std::any_of(ready.begin(), ready.end(), [this](const ServerRecord* server) { return isPaused(*server); });
        return { SelectionKind::RateLimited, nullptr, shortestWait.value_or(settings_.unknownRateLimitWait), isPause };
    }
    if (!best)
        return { SelectionKind::Busy, nullptr };
    if (isProbe)
        outage->second.nextProbe = clock_.now() + settings_.probeInterval;
    return { SelectionKind::Server, best };
}

void ServerSelector::setEntryCount(std::size_t count, std::size_t localCount)
{
    entryCount_ = std::max<std::size_t>(1, count);
    localEntryCount_ = std::max<std::size_t>(1, localCount);
}

// Reduces the servers to a random sample. Its size is the number of servers per entry, but at least minSampleSize.
void ServerSelector::reduceToSample(std::vector<const ServerRecord*>& servers, std::size_t entryCount)
{
    std::size_t sampleSize = std::max(settings_.minSampleSize, servers.size() / entryCount);
    for (std::size_t i = 0; i < sampleSize && i < servers.size(); ++i)
        std::swap(servers[i], servers[i + random_.index(servers.size() - i)]);
    servers.resize(std::min(servers.size(), sampleSize));
}

void ServerSelector::avoid(const std::string& serverId, TimePoint until)
{
    avoidedUntil_[serverId] = until;
}

void ServerSelector::pause(const ServerRecord& server, Duration duration)
{
    TimePoint forgetBefore = clock_.now() - settings_.pauseRampUpTime;
    for (auto entry = pauses_.begin(); entry != pauses_.end();)
        entry = entry->second.until < forgetBefore ? pauses_.erase(entry) : std::next(entry);
    pauses_[server.id] = { server.startedAt, clock_.now() + duration };
}

const ServerSelector::Pause* ServerSelector::findPause(const ServerRecord& server) const
{
    auto found = pauses_.find(server.id);
    return found != pauses_.end() && found->second.startedAt == server.startedAt ? &found->second : nullptr;
}

Duration ServerSelector::pauseLeft(const ServerRecord& server) const
{
    const Pause* pause = findPause(server);
    return pause ? std::max(Duration::zero(), pause->until - clock_.now()) : Duration::zero();
}

// Returns std::nullopt if the requests to the server are divided among other entries.
std::optional<Duration> ServerSelector::timeUntilSend(const ServerRecord& server) const
{
    std::optional<Duration> wait = rateLimits_.timeUntilSend(server.id);
    return wait ? std::optional(std::max(*wait, pauseLeft(server))) : std::nullopt;
}

// Returns the number of requests in flight from which on the server gets no further one.
double ServerSelector::capacityOf(const ServerRecord& server, bool mayQueue) const
{
    double capacity = slotsOf(server) + (mayQueue ? settings_.queuedPerServer : 0);
    const Pause* pause = findPause(server);
    if (!pause || clock_.now() - pause->until >= settings_.pauseRampUpTime)
        return capacity;
    double share = std::chrono::duration<double>(clock_.now() - pause->until) / std::chrono::duration<double>(settings_.pauseRampUpTime);
    return std::max(1.0, capacity * share);
}

void ServerSelector::recordSuccess(const std::string& serverId)
{
    avoidedUntil_.erase(serverId);
}

void ServerSelector::recordProgress(std::string_view service, const std::string& serverId)
{
    auto found = progress_.find(service);
    if (found == progress_.end())
        found = progress_.emplace(std::string(service), Progress {}).first;
    Progress& progress = found->second;
    if (progress.newest != serverId) {
        progress.otherAt = progress.newestAt;
        progress.newest = serverId;
    }
    progress.newestAt = clock_.now();
    auto outage = outages_.find(service);
    if (outage == outages_.end())
        return;
    if (isRefusing(outage->second))
        endOutage(service, outage->second);
    else if (clock_.now() >= outage->second.recoveringUntil)
        outages_.erase(outage);
    else
        outage->second.refusalsInRow = 0;
}

void ServerSelector::endOutage(std::string_view service, Outage& outage)
{
    outage.refusalsInRow = 0;
    outage.recoveringUntil = clock_.now() + settings_.recoveryTime;
    outageEndedAt_[std::string(service)] = clock_.now();
    // The servers were avoided because of refusals during the outage.
    for (const ServerRecord* server : fleet_.ready(service))
        avoidedUntil_.erase(server->id);
}

void ServerSelector::recordRefusal(std::string_view service, const std::string& serverId)
{
    const ServerRecord* server = fleet_.find(serverId);
    bool isFull = server && loads_.inFlight(serverId) > slotsOf(*server);
    if (isFull)
        return;
    Outage& outage = outages_.emplace(std::string(service), Outage { 0, clock_.now(), clock_.now() }).first->second;
    ++outage.refusalsInRow;
}

bool ServerSelector::isUnavailable(std::string_view service) const
{
    auto outage = outages_.find(service);
    bool isInOutage = outage != outages_.end() && (isRefusing(outage->second) || clock_.now() < outage->second.recoveringUntil);
    return isInOutage || fleet_.ready(service).empty();
}

bool ServerSelector::hadRecentOutage(std::string_view service) const
{
    auto ended = outageEndedAt_.find(service);
    TimePoint since = ended == outageEndedAt_.end() ? startedAt_ : ended->second;
    return isUnavailable(service) || clock_.now() - since < settings_.retrySurgeTime;
}

bool ServerSelector::hasProgressElsewhere(std::string_view service, std::string_view serverId, TimePoint since) const
{
    auto found = progress_.find(service);
    if (found == progress_.end())
        return false;
    const Progress& progress = found->second;
    return (progress.newest == serverId ? progress.otherAt : progress.newestAt) > since;
}

double ServerSelector::slotsOf(const ServerRecord& server) const
{
    return server.slots > 0 ? server.slots : settings_.assumedSlots;
}

bool ServerSelector::isAvoided(const ServerRecord& server) const
{
    auto found = avoidedUntil_.find(server.id);
    return found != avoidedUntil_.end() && clock_.now() < found->second;
}

}
