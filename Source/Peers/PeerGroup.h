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
#include <vector>

namespace Damaskgrade {

struct PeerGroupSettings {
    std::string name;
    // Where peers connect to this entry.
    Endpoint link;
    LinkKeys keys;
    std::chrono::milliseconds statePeriod { 200 };
    // A peer that was not heard of for this long is not told to callers. Four periods, so that a lost
    // packet and a late timer don't remove it.
    std::chrono::milliseconds suspectAfter { 900 };
    // A link that stays silent for this long is opened again.
    std::chrono::milliseconds reopenAfter { 1500 };
    // A peer that was not heard of for this long is forgotten.
    std::chrono::milliseconds expireAfter { 60000 };
    // Peers that get the state in one period; above it a random part is chosen.
    std::size_t maxPeersPerPeriod { 24 };
};

struct PeerGroupHooks {
    // Returns the state to send, without the fields that the settings give.
    std::function<EntryStateMessage()> localState;
    std::function<void(const EntryStateMessage&)> onState;
    std::function<void(const std::string& text)> onCatalogText;
    std::function<void(const FleetMessage&)> onFleet;
    // A peer became alive or suspected.
    std::function<void(const std::string& name, bool isAlive)> onPeerChange;
};

// The other entries: links to them, what they said last, and whether they are alive.
class PeerGroup {
public:
    PeerGroup(EventLoop& loop, const Clock& clock, Random& random, PeerGroupSettings settings, PeerGroupHooks hooks);
    ~PeerGroup();
    PeerGroup(const PeerGroup&) = delete;
    PeerGroup& operator=(const PeerGroup&) = delete;

    // Connects to a process that may be a peer. It becomes one when it is heard of.
    void addAddress(const std::string& name, const Endpoint& link);

    // Returns the last state of each peer that is alive.
    std::vector<EntryStateMessage> alive() const;

    // Peers heard of within the time to forget, alive or not.
    std::size_t knownCount() const { return peers_.size(); }
    std::size_t addressCount() const { return addresses_.size(); }

    void sendCatalog(const std::string& peer, const std::string& text);
    void sendFleet(const std::string& peer, const FleetMessage& message);

    // Sends the own state at once, for example when draining starts.
    void sendState();

private:
    struct Peer {
        EntryStateMessage state;
        TimePoint lastSeen;
        bool isAlive { false };
    };

    void tick();
    void receive(const Frame& frame);
    void receiveState(EntryStateMessage state);
    void updateTargets();
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
    std::unique_ptr<Timer> timer_;
};

}
