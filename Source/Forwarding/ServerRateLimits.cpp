#include "Forwarding/ServerRateLimits.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Damaskgrade {

namespace {

// Requests without a confirmation after which a very low limit is forgotten.
constexpr double requestsUntilExpiry = 6;

// Returns the weight of an entry for a server; the entries with the highest weights send to it.
std::uint64_t senderWeight(std::string_view serverId, std::string_view entryName)
{
    return XXH64(entryName.data(), entryName.size(), XXH64(serverId.data(), serverId.size(), 0));
}

}

ServerRateLimits::ServerRateLimits(const Clock& clock, std::string entryName, ServerRateLimitsSettings settings, Observer observer)
    : clock_(clock)
    , entryName_(std::move(entryName))
    , settings_(settings)
    , observer_(std::move(observer))
{
}

void ServerRateLimits::setPeers(std::vector<std::string> names)
{
    if (names == peers_)
        return;
    peers_ = std::move(names);
    for (auto& [serverId, limit] : limits_)
        selectSenders(serverId, limit);
}

void ServerRateLimits::recordResponse(const std::string& serverId, std::optional<double> perSecond, TimePoint sentAt)
{
    auto found = limits_.find(serverId);
    bool isLimited = found != limits_.end() && found->second.perSecond > 0;
    if (!perSecond) {
        // Responses on different connections overtake each other, so this one may be older than the limit.
        if (isLimited && sentAt > found->second.confirmedAt)
            change(serverId, found->second, 0, true);
        return;
    }
    Limit& limit = limits_[serverId];
    limit.confirmedAt = clock_.now();
    double limitPerSecond = std::max(*perSecond, settings_.minPerSecond);
    if (limit.perSecond != limitPerSecond) {
        change(serverId, limit, limitPerSecond, true);
    } else if (clock_.now() - limit.changedAt >= settings_.refreshTime) {
        ++limit.version;
        limit.changedAt = clock_.now();
    }
}

void ServerRateLimits::change(const std::string& serverId, Limit& limit, double perSecond, bool isLocal)
{
    bool wasLimited = limit.perSecond > 0;
    limit.perSecond = perSecond;
    limit.changedAt = clock_.now();
    if (isLocal)
        ++limit.version;
    if (perSecond > 0) {
        selectSenders(serverId, limit);
        // What was sent just before is not known here, so the first request waits as if one had been sent now.
        TimePoint next = clock_.now() + interval(limit);
        limit.nextSendAt = wasLimited ? std::min(limit.nextSendAt, next) : next;
    }
    if (observer_)
        observer_(serverId, perSecond, isLocal);
}

void ServerRateLimits::selectSenders(const std::string& serverId, Limit& limit) const
{
    if (limit.perSecond <= 0)
        return;
    auto maxSenders = static_cast<std::size_t>(limit.perSecond + settings_.extraSenders);
    limit.senders = std::min(maxSenders, peers_.size() + 1);
    std::uint64_t ownWeight = senderWeight(serverId, entryName_);
    auto heavierPeers = static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const std::string& peer) { return senderWeight(serverId, peer) > ownWeight; }));
    bool wasSender = limit.isSender;
    limit.isSender = heavierPeers < limit.senders;
    // The entry that sent to the server before may have done so just now.
    if (limit.isSender && !wasSender)
        limit.nextSendAt = std::max(limit.nextSendAt, clock_.now() + interval(limit));
}

Duration ServerRateLimits::interval(const Limit& limit) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(limit.senders) / limit.perSecond));
}

std::optional<Duration> ServerRateLimits::timeUntilSend(std::string_view serverId) const
{
    auto found = limits_.find(serverId);
    if (found == limits_.end() || found->second.perSecond <= 0 || isExpired(found->second))
        return Duration::zero();
    if (!found->second.isSender)
        return std::nullopt;
    return std::max(Duration::zero(), found->second.nextSendAt - clock_.now());
}

void ServerRateLimits::recordSend(const std::string& serverId)
{
    auto found = limits_.find(serverId);
    if (found != limits_.end() && found->second.perSecond > 0)
        found->second.nextSendAt = clock_.now() + interval(found->second);
}

bool ServerRateLimits::isExpired(const Limit& limit) const
{
    Duration expiry = settings_.expiryTime;
    if (limit.perSecond > 0)
        expiry = std::max(expiry, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(requestsUntilExpiry / limit.perSecond)));
    return clock_.now() - std::max(limit.confirmedAt, limit.changedAt) > expiry;
}

std::vector<RateLimitReport> ServerRateLimits::nextReports()
{
    TimePoint now = clock_.now();
    std::vector<RateLimitReport> reports;
    auto add = [&](const std::string& serverId, const Limit& limit) {
        reports.push_back({ serverId, limit.version, limit.perSecond, std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.confirmedAt) });
    };
    for (auto entry = limits_.begin(); entry != limits_.end();) {
        if (isExpired(entry->second)) {
            entry = limits_.erase(entry);
            continue;
        }
        if (now - entry->second.changedAt <= settings_.newsTime && reports.size() < settings_.maxNewsPerReport)
            add(entry->first, entry->second);
        ++entry;
    }
    for (std::size_t i = 0; i < std::min(settings_.maxOthersPerReport, limits_.size()); ++i) {
        auto next = limits_.upper_bound(reportedServer_);
        if (next == limits_.end())
            next = limits_.begin();
        reportedServer_ = next->first;
        if (now - next->second.changedAt > settings_.newsTime)
            add(next->first, next->second);
    }
    return reports;
}

void ServerRateLimits::applyReports(gsl::span<const RateLimitReport> reports)
{
    for (const RateLimitReport& report : reports) {
        auto found = limits_.find(report.serverId);
        if (found != limits_.end() && report.version <= found->second.version)
            continue;
        Limit& limit = limits_[report.serverId];
        limit.version = report.version;
        limit.confirmedAt = clock_.now() - report.age;
        if (limit.perSecond != report.perSecond)
            change(report.serverId, limit, report.perSecond, false);
    }
}

std::size_t ServerRateLimits::limitCount() const
{
    return static_cast<std::size_t>(std::count_if(limits_.begin(), limits_.end(), [](const auto& entry) { return entry.second.perSecond > 0; }));
}

}
