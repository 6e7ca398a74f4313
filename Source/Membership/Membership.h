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
    std::uint32_t incarnation { 0 };
    // Names of all entry slots, this one included. Sorted by the constructor.
    std::vector<std::string> slots;
    TimeLimits limits;
};

struct MembershipHooks {
    std::function<void(const std::string& slot, const GossipRequest&)> sendRequest;
    std::function<void(const std::string& slot, const GossipMessage&)> sendGossip;
    // A slot had this digest at some time not before asOf.
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
    // Shown as draining or gone by the platform's instance list.
    bool isRemoved { false };
    Duration age { Duration::max() };
};

// Knows which entry instances are there and how fresh that knowledge is. Each period it asks
// peers for their age vectors and merges the answers.
class Membership {
public:
    // Throws Error(SettingsInvalid) if self is no slot or a time limit is wrong.
    Membership(MembershipSettings settings, const Clock& clock, Random& random, MembershipHooks hooks);

    // To be called at least once per gossip period.
    void tick();

    void receive(const std::string& from, const GossipRequest& request);
    void receive(const std::string& from, const GossipMessage& message);

    // The list lags, so that it can only remove an instance and never shows one to be alive.
    void observeInstanceList(const std::vector<InstanceRecord>& instances);

    // Throws Error(Internal) if the digest exceeds maxDigestBytes.
    void setDigest(std::string digest);
    void startDraining() { isDraining_ = true; }
    bool isDraining() const { return isDraining_; }

    PeerStatus status(const std::string& slot) const;

    // Returns the slots, this one included, that may get new work from callers.
    std::vector<std::string> slotsForCallers() const;

    const std::vector<std::string>& slots() const { return settings_.slots; }
    int healthScore() const { return health_.score(); }

private:
    struct Contact {
        SlotReport report;
        TimePoint asOf;
    };

    struct PendingRequest {
        std::string slot;
        TimePoint sentAt;
        // Whether the answer counts for the health of this process.
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
