#pragma once

#include "Core/Clock.h"
#include "Core/Random.h"
#include "Membership/GossipMessages.h"
#include "Membership/LocalHealth.h"
#include "Membership/TimeLimits.h"
#include "Platform/InstanceList.h"

#include <functional>
#include <map>
#include <set>

namespace Damaskgrade {

struct MembershipSettings {
    std::string self;
    // See SlotReport::incarnation.
    std::uint32_t incarnation { 0 };
    // Names of all entry slots, including the local one. The constructor sorts them.
    std::vector<std::string> slots;
    TimeLimits limits;
};

struct MembershipHooks {
    std::function<void(const std::string& slot, const GossipRequest&)> sendRequest;
    std::function<void(const std::string& slot, const GossipMessage&)> sendGossip;
    // Called with the digest of each newer report of a slot. The slot had it at asOf or later.
    std::function<void(const std::string& slot, const std::string& digest, TimePoint asOf)> onDigest;
};

enum class PeerState {
    // No contact since this process started.
    Unknown,
    Alive,
    Suspected,
};

struct PeerStatus {
    std::string slot;
    PeerState state { PeerState::Unknown };
    std::uint32_t incarnation { 0 };
    bool isDraining { false };
    // The platform's instance list shows the instance as draining or no longer lists it.
    bool isRemoved { false };
    Duration age { Duration::max() };
};

// Tracks the state of all entry instances and the age of that information. In each gossip period it
// requests the age vectors of peers and merges the responses.
class Membership {
public:
    // Throws Error(SettingsInvalid) if self is not one of the slots or checkTimeLimits() rejects the limits.
    Membership(MembershipSettings settings, const Clock& clock, Random& random, MembershipHooks hooks);

    // Must be called at least once per gossip period.
    void tick();

    void receive(const std::string& from, const GossipRequest& request);
    void receive(const std::string& from, const GossipMessage& message);

    // Processes the platform's instance list. The list lags, so it is used only to remove instances and
    // never as evidence that an instance is alive.
    void observeInstanceList(const std::vector<InstanceRecord>& instances);

    // Sets the digest that gossip carries for this instance. Throws Error(Internal) if it exceeds
    // maxDigestBytes.
    void setDigest(std::string digest);
    void startDraining() { isDraining_ = true; }
    bool isDraining() const { return isDraining_; }

    // Returns the state of a slot. The local slot is always Alive.
    PeerStatus status(const std::string& slot) const;

    // Returns the slots, including the local one, to which callers may send new work.
    std::vector<std::string> slotsForCallers() const;

    const std::vector<std::string>& slots() const { return settings_.slots; }
    int slownessScore() const { return health_.score(); }

private:
    struct Contact {
        SlotReport report;
        TimePoint asOf;
    };

    struct PendingRequest {
        std::string slot;
        TimePoint sentAt;
        // Whether a missing response raises the local health score.
        bool countsForHealth { false };
    };

    void requestGossip(const std::string& slot);
    void expireRequests();
    std::vector<std::string> selectPeers();
    std::vector<std::optional<SlotReport>> ageVector() const;
    void merge(const std::string& slot, const SlotReport& report, TimePoint asOf);

    MembershipSettings settings_;
    const Clock& clock_;
    Random& random_;
    MembershipHooks hooks_;
    LocalHealth health_;
    std::uint32_t slotSet_;
    std::string digest_;
    bool isDraining_ { false };
    std::map<std::string, Contact> contacts_;
    std::map<std::uint64_t, PendingRequest> pending_;
    std::optional<TimePoint> lastPeriodAt_;
    std::size_t requestsSent_ { 0 };
    std::size_t responsesReceived_ { 0 };
    std::set<std::string> everListed_;
    std::set<std::string> removed_;
};

}
