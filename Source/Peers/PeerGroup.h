#pragma once

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Peers/PeerMessages.h"
#include "Transport/LinkDirectory.h"
#include "Transport/LinkServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct PeerGroupSettings {
    std::string name;
    // Where peers connect to this entry.
    Endpoint link;
    LinkKeys keys;
    std::string availabilityZone;
    std::chrono::milliseconds statePeriod { 200 };
    // A peer from which no state was received for this long is suspected, and its address is not returned to callers.
    // More than four state periods, so that a lost packet and a late timer do not make a peer suspected.
    std::chrono::milliseconds suspectAfter { 900 };
    // The link to a peer from which no state was received for this long is reopened.
    std::chrono::milliseconds reopenAfter { 1500 };
    // A peer from which no state was received for this long is removed.
    std::chrono::milliseconds expireAfter { 60000 };
    // Number of peers to which the state is sent in one period. If there are more peers, a random subset of about
    // this size is used.
    std::size_t maxPeersPerPeriod { 24 };
    // One in this many states that are sent to another availability zone has the requests in flight, which are most of its
    // bytes. Entries send most requests to servers of their own zone.
    std::uint64_t remoteCountsInterval { 5 };
};

struct PeerGroupHooks {
    // Returns the state to send. The name and the link address are filled in from the settings.
    std::function<EntryStateMessage()> localState;
    std::function<void(const EntryStateMessage&)> onState;
    std::function<void(const std::string& text)> onCatalogText;
    std::function<void(const FleetMessage&)> onFleet;
    // Called when a peer becomes alive or suspected.
    std::function<void(const std::string& name, bool isAlive)> onPeerChange;
};

// Maintains the links to the peer entries, their last received states and whether they are alive.
class PeerGroup {
public:
    PeerGroup(EventLoop& loop, const Clock& clock, Random& random, PeerGroupSettings settings, PeerGroupHooks hooks);
    ~PeerGroup();
    PeerGroup(const PeerGroup&) = delete;
    PeerGroup& operator=(const PeerGroup&) = delete;

    // Connects to the address of a possible peer. It is counted as a peer when its first state is received.
    // The name may be a placeholder, for example of a seed address: the first state replaces it by the name of the peer.
    void addAddress(const std::string& name, const Endpoint& link);

    // Returns the last state of each peer that is alive.
    std::vector<EntryStateMessage> alive() const;

    // Returns the number of peers that are alive.
    std::size_t aliveCount() const;

    // Returns the names of the peers that have not expired, alive or not.
    std::vector<std::string> knownNames() const;

    // Returns the number of peers that have not expired, alive or not.
    std::size_t knownCount() const { return peers_.size(); }
    // The same for one availability zone.
    std::size_t knownCountIn(std::string_view availabilityZone) const;
    std::size_t addressCount() const { return addresses_.size(); }
    // Returns the addresses of possible peers by name.
    const std::map<std::string, Endpoint>& addresses() const { return addresses_; }

    void sendCatalog(const std::string& peer, const std::string& text);
    void sendFleet(const std::string& peer, const FleetMessage& message);

    // Sends the local state immediately, for example when draining starts.
    void sendState() { sendState(false); }

private:
    struct Peer {
        EntryStateMessage state;
        TimePoint lastSeen;
        bool isAlive { false };
    };

    bool isAlive(const Peer& peer) const;
    bool isInOtherZone(const std::string& name) const;
    void tick();
    void sendState(bool includeAllCounts);
    void receive(const Frame& frame);
    void receiveState(EntryStateMessage state);
    void updateTargets();
    void reopenLink(const std::string& peer);
    bool send(const std::string& peer, const Frame& frame);

    EventLoop& loop_;
    const Clock& clock_;
    Random& random_;
    PeerGroupSettings settings_;
    PeerGroupHooks hooks_;
    HybridClock hybridClock_;
    std::map<std::string, Endpoint> addresses_;
    std::map<std::string, TimePoint> addressAddedAt_;
    std::map<std::string, Peer> peers_;
    std::map<std::string, TimePoint> openedAt_;
    std::unique_ptr<LinkDirectory> links_;
    std::unique_ptr<LinkServer> server_;
    std::uint64_t periods_ { 0 };
    std::unique_ptr<Timer> timer_;
};

}
