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

ServerSelection ServerSelector::select(const ServerSelectionRequest& request)
{
    std::vector<const ServerRecord*> ready = fleet_.ready(request.service);
    if (ready.empty())
        return {};
    auto outage = outages_.find(request.service);
    bool isProbe = outage != outages_.end() && isRefusing(outage->second);
    if (isProbe && clock_.now() < outage->second.nextProbe)
        return { SelectionKind::Busy, nullptr };
    auto isTried = [&request](const ServerRecord* server) { return std::find(request.tried.begin(), request.tried.end(), server->id) != request.tried.end(); };
    bool haveAllBeenTried = std::all_of(ready.begin(), ready.end(), isTried);
    bool areAllEjected = std::all_of(ready.begin(), ready.end(), [this](const ServerRecord* server) { return outliers_.isEjected(server->id); });
    std::vector<Candidate> localServers;
    std::vector<Candidate> remoteServers;
    std::size_t limitedServers = 0;
    std::size_t excludedServers = 0;
    std::string_view excludingRule;
    std::optional<Duration> shortestWait;
    std::optional<Duration> shortestExclusion;
    for (const ServerRecord* server : ready) {
        CombinedAssessment assessment = assess(*server, request);
        if (assessment.excludedBy) {
            ++excludedServers;
            excludingRule = assessment.excludedBy->name;
            if (assessment.retryAfter)
                shortestExclusion = std::min(*assessment.retryAfter, shortestExclusion.value_or(*assessment.retryAfter));
            continue;
        }
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
        double capacity = capacityOf(*server, request.mayQueue);
        if (loads_.inFlight(server->id) >= std::min(capacity, assessment.capacity.value_or(capacity)))
            continue;
        (server->availabilityZone == settings_.localZone ? localServers : remoteServers).push_back({ server, assessment.cost });
    }
    if (excludedServers == ready.size())
        return { SelectionKind::Excluded, nullptr, shortestExclusion, false, excludingRule };
    if (excludedServers + limitedServers == ready.size()) {
        bool isPause = std::any_of(ready.begin(), ready.end(), [this](const ServerRecord* server) { return isPaused(*server); });
        return { SelectionKind::RateLimited, nullptr, shortestWait.value_or(settings_.unknownRateLimitWait), isPause };
    }
    reduceToSample(localServers, localEntryCount_);
    reduceToSample(remoteServers, entryCount_);
    localServers.insert(localServers.end(), remoteServers.begin(), remoteServers.end());
    const ServerRecord* best = selectBest(localServers);
    if (!best)
        return { SelectionKind::Busy, nullptr };
    if (isProbe)
        outage->second.nextProbe = clock_.now() + settings_.probeInterval;
    return { SelectionKind::Server, best };
}

const ServerRecord* ServerSelector::selectBest(gsl::span<const Candidate> candidates)
{
    const ServerRecord* best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (const Candidate& candidate : candidates) {
        const ServerRecord& server = *candidate.server;
        double zonePenalty = server.availabilityZone == settings_.localZone ? 0 : settings_.zoneBias;
        double score = (loads_.inFlight(server.id) + zonePenalty + candidate.cost + random_.fraction() * 0.1) / slotsOf(server);
        if (score < bestScore) {
            bestScore = score;
            best = candidate.server;
        }
    }
    return best;
}

ServerSelector::CombinedAssessment ServerSelector::assess(const ServerRecord& server, const ServerSelectionRequest& request) const
{
    CombinedAssessment combined;
    for (const SelectionRule& rule : rules_) {
        ServerAssessment assessment = rule.assess(server, request);
        if (assessment.isExcluded) {
            combined.excludedBy = &rule;
            combined.retryAfter = assessment.retryAfter;
            return combined;
        }
        if (assessment.capacity)
            combined.capacity = std::min(*assessment.capacity, combined.capacity.value_or(*assessment.capacity));
        combined.cost += assessment.cost;
    }
    return combined;
}

void ServerSelector::recordSend(const ServerRecord& server, const ServerSelectionRequest& request)
{
    for (const SelectionRule& rule : rules_) {
        if (rule.onSend)
            rule.onSend(server, request);
    }
}

bool ServerSelector::isExcludedByNow(const ServerRecord& server, const ServerSelectionRequest& request) const
{
    return std::any_of(rules_.begin(), rules_.end(), [&](const SelectionRule& rule) { return rule.isAppliedToOpenConnections && rule.assess(server, request).isExcluded; });
}

void ServerSelector::setEntryCount(std::size_t count, std::size_t localCount)
{
    entryCount_ = std::max<std::size_t>(1, count);
    localEntryCount_ = std::max<std::size_t>(1, localCount);
}

// Reduces the servers to a random sample. Its size is the number of servers per entry, but at least minSampleSize.
void ServerSelector::reduceToSample(std::vector<Candidate>& candidates, std::size_t entryCount)
{
    std::size_t sampleSize = std::max(settings_.minSampleSize, candidates.size() / entryCount);
    for (std::size_t i = 0; i < sampleSize && i < candidates.size(); ++i)
        std::swap(candidates[i], candidates[i + random_.index(candidates.size() - i)]);
    candidates.resize(std::min(candidates.size(), sampleSize));
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
