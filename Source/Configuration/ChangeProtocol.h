#pragma once

#include "Configuration/ChangeCoordinator.h"

namespace Damaskgrade {

struct ChangeProtocolSettings {
    std::string self;
    // Names of all entry slots, including the local one. They come from the settings of the entry;
    // ConfigurationNode compares them with the table.
    std::vector<std::string> slots;
    TimeLimits limits;
};

struct ChangeProtocolHooks {
    std::function<void(const std::string& slot, const ConfigurationMessage&)> send;
    // Throws Error(DocumentInvalid).
    std::function<void(const ConfigurationText&)> validate;
    // Returns the team that the token belongs to. Throws Error(NotSectionOwner).
    std::function<std::string(const ConfigurationText&, const std::string& section, const std::string& token)> authorize;
    // Called when a document comes into force at this entry.
    std::function<void(const DocumentPointer&)> onInForce;
    // Called with the new digest for Membership::setDigest when it has changed.
    std::function<void(const std::string& digest)> onDigest;
};

// The change protocol of one entry, both as a member and as the coordinator of the changes that
// were submitted to it. See section 4.1 of docs/design.md and docs/decisions/configuration.md.
class ChangeProtocol {
public:
    // Throws Error(SettingsInvalid) if checkTimeLimits() rejects the time limits.
    ChangeProtocol(ChangeProtocolSettings settings, Table& table, const Clock& clock, ChangeProtocolHooks hooks);

    // Must be called at least every 50 ms.
    void tick();

    void receive(const std::string& from, const ConfigurationMessage& message);

    // Processes a digest from Membership. The slot had this digest at asOf or later.
    void observeDigest(const std::string& slot, const std::string& digest, TimePoint asOf);

    // Starts a change; changeId must be unique. Throws the errors of ChangeCoordinator::submit.
    void submit(const std::string& changeId, const ChangeRequest& request);

    // Returns whether new work may be admitted now. Must be checked for each call.
    Admission admission() const;

    // Returns the document in force at this entry, or a null pointer.
    const DocumentPointer& inForce() const { return member_.inForce(); }

    // Returns a change by its id. Throws Error(UnknownChange).
    ChangeRecord change(const std::string& id) const;
    std::vector<ChangeRecord> history() const;

private:
    void pollHead();
    void handleHead(const HeadState& head);
    void fetchFromTable(ConfigurationVersion version);
    void fetchFromPeer(const std::string& slot);
    void recordDocument(const DocumentPointer& document);
    void finishCommit(const DocumentPointer& document);
    void updateInForceVersion();
    void broadcastLearned(bool wantsReply);
    void markInForce();
    bool isMarkDue() const;

    void handle(const std::string& from, const ProposeMessage& message);
    void handle(const std::string& from, const ProposeResultMessage& message);
    void handle(const std::string& from, const LearnedMessage& message);
    void handle(const std::string& from, const DocumentRequest& message);
    void handle(const std::string& from, const DocumentMessage& message);
    ProposeResultMessage voteOn(const std::string& from, const ProposeMessage& message);
    void sendLearned(const std::string& to);

    ChangeRecord withInForceSlots(ChangeRecord record) const;
    CoordinatorHooks coordinatorHooks();

    ChangeProtocolSettings settings_;
    const Clock& clock_;
    ChangeProtocolHooks hooks_;
    ConfigurationStore store_;
    MemberState member_;
    ChangeLog log_;
    ChangeCoordinator coordinator_;
    // The candidate document of each proposal that is not yet committed or superseded, by change id.
    std::map<std::string, DocumentPointer> proposals_;
    std::optional<TimePoint> polledAt_;
    std::optional<TimePoint> fetchedAt_;
    std::optional<TimePoint> markedAt_;
    // When the head row was first found behind the version in force at this entry.
    std::optional<TimePoint> headLagSince_;
    // The last version that this entry committed as a coordinator.
    ConfigurationVersion locallyCommittedVersion_ { 0 };
};

}
