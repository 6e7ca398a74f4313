#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ColdSharesSettings {
    // In any second, a cold server may get this many times the rate that it tolerates, plus the slack.
    double overage { 1 };
    double slack { 0 };
    // Time between two ticks, within which a process may handle what is due.
    Duration tickPeriod { std::chrono::milliseconds(50) };
    // Time between two states of an entry, and the number of other entries that get one of them.
    Duration statePeriod { std::chrono::milliseconds(200) };
    std::size_t peersPerState { 24 };
    // An entry that has started or was frozen sends nothing to cold servers until its state has reached the others. Before, this
    // number of states may be lost, for example because links are not open yet.
    int lostStates { 15 };
    // How much longer an introduction waits for the states of listed entries that are silent, relative to maxIsolation. Above 1,
    // so that entries that this one can't reach have stopped by then.
    double silentEntryWait { 1.5 };
    // A longer time between two ticks means that the process was frozen, and that what it knows may be outdated.
    Duration maxTickGap { std::chrono::seconds(1) };
    // A silent entry keeps its share for this time. Longer than an isolated entry uses it.
    Duration peerMemory { std::chrono::minutes(2) };
    // The same for an entry that has announced its end. Longer than any shutdown.
    Duration drainingPeerMemory { std::chrono::minutes(1) };
    // An entry that has not heard the majority for this time, after the time in which it hears all, sends nothing to cold
    // servers, because the majority may let new entries in without it.
    Duration maxIsolation { std::chrono::seconds(10) };
};

// Keeps the requests of all entries together to a cold server within a bound in any second, without messages for requests.
//
// Rendezvous hashing selects the entries that send to a server, and each of them spaces its requests evenly. The number of
// senders is so low that their simultaneous requests fit between the pace and the bound. Each entry ranks itself among all
// entries that it has heard from or that are listed. If it knows more entries than there are, it sends less; so a share only
// grows when an entry is certain to send no more.
class ColdShares {
public:
    ColdShares(const Clock& clock, std::string entryName, ColdSharesSettings settings);

    // Sets the longest one-way delay between availability zones.
    void setZoneDelay(Duration delay) { zoneDelay_ = delay; }

    // Records a state of a peer. An entry with another name at the same address is gone.
    void recordPeer(const std::string& name, const Endpoint& link, bool isDraining);

    // Updates what is known of the other entries. Called several times per second, with the addresses of other entries by name,
    // whether the list of entries has been read since the start, and whether it had this entry then.
    void tick(const std::map<std::string, Endpoint>& addresses, bool isListRead, bool wasListed);

    // Ends this entry's share for good. Called when its shutdown starts: it is no longer listed from then on, so that an entry that
    // starts does not count it.
    void end() { hasEnded_ = true; }

    // Returns how long this entry has to wait before it sends to a cold server that tolerates this rate. Returns std::nullopt if
    // others send to it, or if this entry may not send to any cold server now.
    std::optional<Duration> timeUntilSend(std::string_view serverId, double requestsPerSecond) const;

    // Records a request to the server.
    void recordSend(const std::string& serverId, bool isCold);

    // Returns whether a request to a cold server may still be sent when its connection has been opened. False if the server was
    // taken for warm when it was selected, or if this entry has been frozen since.
    bool mayFinishSend(std::string_view serverId) const;

    // Removes what is no longer needed.
    void removeOldSends();

    // Returns whether this entry may not send to any cold server now.
    bool isAbstaining() const { return isAbstaining_ || hasEnded_ || clock_.now() - lastTick_ > settings_.maxTickGap; }

    std::size_t knownCount() const { return peers_.size() + 1; }

private:
    struct Peer {
        Endpoint link;
        // When it was listed first, if it has not been heard.
        TimePoint knownSince;
        TimePoint lastHeard { TimePoint::min() };
        bool isDraining { false };
    };

    struct Send {
        TimePoint at;
        // The server was cold, so that the request kept its distance from the one before.
        bool wasCold { false };
    };

    // Number of other entries that are preferred as senders to a server, as of a version of the known entries.
    struct Rank {
        std::uint64_t version { 0 };
        std::size_t heavierPeers { 0 };
    };

    // How the rate of a server is divided.
    struct Division {
        std::size_t maxSenders { 0 };
        double pace { 0 };
    };

    std::size_t heavierPeers(std::string_view serverId) const;
    Division divide(double requestsPerSecond) const;
    Duration arrivalSpread() const;
    Duration reachTime() const;
    Duration introductionTime() const;
    std::size_t heardSince(TimePoint time) const;
    // Returns whether this entry and those heard since the time are the majority. Of two halves, it is the one that has the
    // first entry by name.
    bool isMajority(TimePoint since) const;
    void removeOldPeers();
    void addListedPeers(const std::map<std::string, Endpoint>& addresses);
    bool isIntroduced(bool wasListed) const;

    const Clock& clock_;
    std::string entryName_;
    ColdSharesSettings settings_;
    Duration zoneDelay_ { 0 };
    std::map<std::string, Peer> peers_;
    // Listed entries that have been silent for so long that they are gone.
    std::set<std::string> dismissed_;
    std::map<std::string, Send, std::less<>> sends_;
    // Incremented when an entry becomes known or is forgotten.
    std::uint64_t peersVersion_ { 1 };
    mutable std::map<std::string, Rank, std::less<>> ranks_;
    // Start of this entry, or end of the last time that it was frozen.
    TimePoint resumedAt_;
    TimePoint lastTick_;
    // Since when this entry has heard the majority without interruption, and when it did last.
    TimePoint contactSince_;
    TimePoint lastContact_;
    bool hasBeenFrozen_ { false };
    bool hasEnded_ { false };
    bool isIntroduced_ { false };
    bool isAbstaining_ { true };
};

}
