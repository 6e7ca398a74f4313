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
    // Called when a document comes into force on this entry.
    std::function<void(const DocumentPointer&)> onInForce;
};

// Returns why the slots of the settings differ from those in the table row, or an empty text if they are the same.
std::string findSlotsProblem(std::vector<std::string> slots, const std::string& row);

// Connects the membership and the change protocol of an entry to the table and the links.
class ConfigurationNode {
public:
    // Throws Error(SettingsInvalid) if the local name is not one of the slots or the initial document can't be
    // read, and Error(DocumentInvalid) if the initial document is invalid.
    ConfigurationNode(EventLoop& loop, const Clock& clock, Random& random, HybridClock& hybridClock, Table& table,
        const EntrySettings& settings, ConfigurationNodeHooks hooks);

    // Handles a frame from a peer. Ignores frame types that belong to neither membership nor configuration.
    // Throws Error(BadFrame) if the body can't be decoded.
    void receive(const std::string& peer, const Frame& frame);

    // Returns whether new work may be admitted now. No work is admitted before the entry slots have been
    // compared with the table. If they differ, no work is admitted until the process restarts with other
    // settings.
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
    // Why the slots of the settings are not confirmed. Empty after the comparison with the table if they are the
    // same.
    std::string slotsProblem_ { "the entry slots have not been read from the table" };
};

}
