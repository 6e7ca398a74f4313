#include "ColdServers/ColdShares.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace Damaskgrade {

namespace {

constexpr Duration window { std::chrono::seconds(1) };
// A single sender with a pace below one per second sends at most one request in any second.
constexpr double maxSinglePace = 0.99;
constexpr double mostSenders = 100000;
// Longer than the intervals of all rates that matter.
constexpr Duration sendMemory { std::chrono::minutes(10) };

std::uint64_t senderWeight(std::string_view serverId, std::string_view entryName)
{
    return XXH64(entryName.data(), entryName.size(), XXH64(serverId.data(), serverId.size(), 0));
}

}

ColdShares::ColdShares(const Clock& clock, std::string entryName, ColdSharesSettings settings)
    : clock_(clock)
    , entryName_(std::move(entryName))
    , settings_(settings)
    , resumedAt_(clock.now())
    , lastTick_(clock.now())
    , contactSince_(clock.now())
    , lastContact_(clock.now())
{
}

void ColdShares::recordPeer(const std::string& name, const Endpoint& link, bool isDraining)
{
    if (name == entryName_)
        return;
    std::size_t previousCount = peers_.size();
    for (auto entry = peers_.begin(); entry != peers_.end();)
        entry = entry->first != name && entry->second.link == link ? peers_.erase(entry) : std::next(entry);
    bool isNew = peers_.count(name) == 0;
    if (isNew || peers_.size() != previousCount)
        ++peersVersion_;
    peers_[name] = { link, clock_.now(), clock_.now(), isDraining };
    dismissed_.erase(name);
}

void ColdShares::tick(const std::map<std::string, Endpoint>& addresses, bool isListRead, bool wasListed)
{
    TimePoint now = clock_.now();
    if (now - lastTick_ > settings_.maxTickGap) {
        resumedAt_ = now;
        hasBeenFrozen_ = true;
        contactSince_ = now;
        lastContact_ = now;
        isIntroduced_ = false;
    }
    lastTick_ = now;
    addListedPeers(addresses);
    if (isMajority(now - introductionTime()))
        lastContact_ = now;
    else
        contactSince_ = now;
    removeOldPeers();
    isIntroduced_ = isIntroduced_ || (isListRead && isIntroduced(wasListed));
    isAbstaining_ = !isIntroduced_ || now - lastContact_ > settings_.maxIsolation;
}

void ColdShares::addListedPeers(const std::map<std::string, Endpoint>& addresses)
{
    std::set<Endpoint> links;
    for (const auto& [name, peer] : peers_)
        links.insert(peer.link);
    for (const auto& [name, link] : addresses) {
        if (links.count(link) != 0 || peers_.count(name) != 0 || dismissed_.count(name) != 0)
            continue;
        peers_[name] = { link, clock_.now(), TimePoint::min(), false };
        ++peersVersion_;
    }
}

bool ColdShares::isIntroduced(bool wasListed) const
{
    Duration elapsed = clock_.now() - resumedAt_;
    // The others have counted this entry since before it restarted, and the list has all that it must count itself. What it sent
    // before its restart must be out of the window. Otherwise the restart of many entries would leave cold servers unused.
    if (wasListed && !hasBeenFrozen_ && elapsed >= std::max(window + arrivalSpread(), reachTime()))
        return true;
    if (elapsed < introductionTime())
        return false;
    return heardSince(resumedAt_) == peers_.size() || (elapsed >= introductionTime() + std::chrono::duration_cast<Duration>(settings_.silentEntryWait * std::chrono::duration<double>(settings_.maxIsolation)) && isMajority(resumedAt_));
}

// Requests sent within this much more than a second may arrive within a second. A request waits for its connection, which takes
// two delays, and for its own way; another one does so on an open connection. Processes are late by some ticks, and clocks do not
// run at the same rate.
Duration ColdShares::arrivalSpread() const
{
    constexpr int delays = 4;
    constexpr int ticks = 3;
    return delays * zoneDelay_ + ticks * settings_.tickPeriod;
}

// Returns the time after which all others probably have a state of this entry. Each state goes to a random part of them, so that
// the number of states grows with their logarithm, too.
Duration ColdShares::reachTime() const
{
    constexpr double safety = 3;
    double parts = std::max(1.0, static_cast<double>(peers_.size()) / static_cast<double>(settings_.peersPerState));
    double states = parts * (std::log(static_cast<double>(peers_.size() + 1)) + safety);
    return std::chrono::duration_cast<Duration>(states * std::chrono::duration<double>(settings_.statePeriod)) + zoneDelay_;
}

Duration ColdShares::introductionTime() const
{
    return settings_.lostStates * settings_.statePeriod + reachTime();
}

std::size_t ColdShares::heardSince(TimePoint time) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [time](const auto& entry) { return entry.second.lastHeard >= time; }));
}

bool ColdShares::isMajority(TimePoint since) const
{
    std::size_t heard = heardSince(since) + 1;
    std::size_t all = peers_.size() + 1;
    if (2 * heard != all)
        return 2 * heard > all;
    return peers_.empty() || entryName_ < peers_.begin()->first || peers_.begin()->second.lastHeard >= since;
}

// The time without contact to the majority does not count, because the silent entries may be well then.
void ColdShares::removeOldPeers()
{
    TimePoint now = clock_.now();
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        const Peer& peer = entry->second;
        Duration silence = now - std::max({ peer.knownSince, peer.lastHeard, contactSince_ });
        bool isOld = silence > (peer.isDraining ? settings_.drainingPeerMemory : settings_.peerMemory);
        if (isOld) {
            dismissed_.insert(entry->first);
            ++peersVersion_;
        }
        entry = isOld ? peers_.erase(entry) : std::next(entry);
    }
}

// A sender with the interval n / p sends at most floor(p * t / n) + 1 requests in any time t, so n senders send at most
// p * t + n.
ColdShares::Division ColdShares::divide(double requestsPerSecond) const
{
    double bound = requestsPerSecond * settings_.overage + settings_.slack;
    if (bound < 1)
        return {};
    double seconds = std::chrono::duration<double>(window + arrivalSpread()).count();
    double pace = std::min(requestsPerSecond, std::max((bound - 1) / seconds, maxSinglePace / seconds));
    double senders = std::floor(bound - pace * seconds);
    return { static_cast<std::size_t>(std::clamp(senders, 1.0, mostSenders)), pace };
}

std::size_t ColdShares::heavierPeers(std::string_view serverId) const
{
    auto found = ranks_.find(serverId);
    if (found == ranks_.end())
        found = ranks_.emplace(std::string(serverId), Rank {}).first;
    Rank& rank = found->second;
    if (rank.version != peersVersion_) {
        std::uint64_t ownWeight = senderWeight(serverId, entryName_);
        auto isHeavier = [&](const auto& peer) { return senderWeight(serverId, peer.first) > ownWeight; };
        rank = { peersVersion_, static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), isHeavier)) };
    }
    return rank.heavierPeers;
}

std::optional<Duration> ColdShares::timeUntilSend(std::string_view serverId, double requestsPerSecond) const
{
    Division division = divide(requestsPerSecond);
    if (isAbstaining() || division.maxSenders == 0)
        return std::nullopt;
    std::size_t senders = std::min(division.maxSenders, peers_.size() + 1);
    if (heavierPeers(serverId) >= senders)
        return std::nullopt;
    auto found = sends_.find(serverId);
    if (found == sends_.end())
        return Duration::zero();
    auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(senders) / division.pace));
    // Requests that were sent while the server was thought to be warm have kept no distance, so they must be out of the window.
    if (!found->second.wasCold)
        interval = std::max(interval, window + arrivalSpread());
    return std::max(Duration::zero(), found->second.at + interval - clock_.now());
}

void ColdShares::recordSend(const std::string& serverId, bool isCold)
{
    sends_[serverId] = { clock_.now(), isCold };
}

bool ColdShares::mayFinishSend(std::string_view serverId) const
{
    auto found = sends_.find(serverId);
    bool wasTakenForWarm = found != sends_.end() && !found->second.wasCold && clock_.now() - found->second.at < window + arrivalSpread();
    return !isAbstaining() && !wasTakenForWarm;
}

void ColdShares::removeOldSends()
{
    for (auto entry = sends_.begin(); entry != sends_.end();)
        entry = clock_.now() - entry->second.at > sendMemory ? sends_.erase(entry) : std::next(entry);
    for (auto entry = ranks_.begin(); entry != ranks_.end();)
        entry = entry->second.version != peersVersion_ ? ranks_.erase(entry) : std::next(entry);
}

}
