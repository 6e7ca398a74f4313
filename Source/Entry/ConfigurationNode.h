#pragma once

#include "Configuration/ChangeProtocol.h"
#include "Core/HybridClock.h"
#include "Core/Random.h"
#include "Entry/EntrySettings.h"
#include "Membership/Membership.h"
#include "Transport/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace Damaskgrade {

struct ConfigurationNodeHooks {
    std::function<void(const std::string& peer, const Frame& frame)> send;
    // A document has come in force at this entry.
    std::function<void(const DocumentPointer&)> onInForce;
};

// Joins the membership and the change protocol of an entry to the table and the links.
class ConfigurationNode {
public:
    ConfigurationNode(EventLoop& loop, const Clock& clock, Random& random, HybridClock& hybridClock, Table& table,
        const EntrySettings& settings, ConfigurationNodeHooks hooks);

    // Takes a frame of a peer; ignores types of other slices.
    void receive(const std::string& peer, const Frame& frame);

    Membership& membership() { return membership_; }
    ChangeProtocol& protocol() { return protocol_; }

private:
    MembershipSettings membershipSettings(const EntrySettings& settings, const Clock& clock) const;
    MembershipHooks membershipHooks();
    ChangeProtocolHooks protocolHooks();
    void storeInitialDocument(Table& table, const EntrySettings& settings);

    EventLoop& loop_;
    HybridClock& hybridClock_;
    ConfigurationNodeHooks hooks_;
    Membership membership_;
    ChangeProtocol protocol_;
    std::unique_ptr<Timer> timer_;
    std::unique_ptr<Timer> initialTimer_;
};

}
