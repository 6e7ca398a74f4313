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

// Returns why the slots of the settings don't fit those in the table's row; empty if they do.
std::string findSlotsProblem(std::vector<std::string> slots, const std::string& row);

// Joins the membership and the change protocol of an entry to the table and the links.
class ConfigurationNode {
public:
    ConfigurationNode(EventLoop& loop, const Clock& clock, Random& random, HybridClock& hybridClock, Table& table,
        const EntrySettings& settings, ConfigurationNodeHooks hooks);

    // Takes a frame of a peer; ignores types of other slices.
    void receive(const std::string& peer, const Frame& frame);

    // Whether new work may be admitted now. Never before the table has confirmed the entry slots.
    Admission admission() const;

    Membership& membership() { return membership_; }
    ChangeProtocol& protocol() { return protocol_; }

private:
    MembershipSettings membershipSettings(const EntrySettings& settings, const Clock& clock) const;
    MembershipHooks membershipHooks();
    ChangeProtocolHooks protocolHooks();
    void storeInitialDocument(Table& table, const EntrySettings& settings);
    void readSlots(Table& table);
    void checkSlots(const std::string& row);

    EventLoop& loop_;
    HybridClock& hybridClock_;
    ConfigurationNodeHooks hooks_;
    Membership membership_;
    ChangeProtocol protocol_;
    std::unique_ptr<Timer> timer_;
    std::unique_ptr<Timer> initialTimer_;
    std::unique_ptr<Timer> slotsTimer_;
    // Why the slots of the settings are not confirmed; empty once they are.
    std::string slotsProblem_ { "the entry slots have not been read from the table" };
};

}
