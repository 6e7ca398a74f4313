#pragma once

#include "Configuration/ChangeCoordinator.h"

namespace Damaskgrade {

struct ChangeProtocolSettings {
    std::string self;
    // Names of all entry slots, this one included, as read from the table.
    std::vector<std::string> slots;
    TimeLimits limits;
};

struct ChangeProtocolHooks {
    std::function<void(const std::string& slot, const ConfigurationMessage&)> send;
    // Throws Error(DocumentInvalid).
    std::function<void(const ConfigurationText&)> validate;
    // Returns the team that the token belongs to. Throws Error(NotSectionOwner).
    std::function<std::string(const ConfigurationText&, const std::string& section, const std::string& token)> authorize;
    // The document has come in force at this entry.
    std::function<void(const DocumentPointer&)> onInForce;
    // The digest for Membership::setDigest has changed.
    std::function<void(const std::string& digest)> onDigest;
};

// The change protocol of one entry, as a member and as the coordinator of changes that it
// received. See section 4.1 of docs/design.md and docs/decisions/configuration.md.
class ChangeProtocol {
public:
    // Throws Error(SettingsInvalid) if a time limit is wrong.
    ChangeProtocol(ChangeProtocolSettings settings, Table& table, const Clock& clock, ChangeProtocolHooks hooks);

    // To be called about every 50 ms.
    void tick();

    void receive(const std::string& from, const ConfigurationMessage& message);

    // Takes a digest from Membership: the slot had it at some time not before asOf.
    void observeDigest(const std::string& slot, const std::string& digest, TimePoint asOf);

    // Starts a change; changeId must be unique. See ChangeCoordinator::submit for errors.
    void submit(const std::string& changeId, const ChangeRequest& request);

    // Whether new work may be admitted now. To be asked for each call.
    Admission admission() const;

    // The document in force here, or none.
    const DocumentPointer& inForce() const { return member_.inForce(); }

    // Throws Error(UnknownChange).
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
    // Documents that proposals would make, by change id.
    std::map<std::string, DocumentPointer> proposals_;
    std::optional<TimePoint> polledAt_;
    std::optional<TimePoint> fetchedAt_;
    std::optional<TimePoint> markedAt_;
    // Since when the head row has lagged behind the version in force here.
    std::optional<TimePoint> headLagSince_;
    // The version that this entry committed last, as a coordinator.
    ConfigurationVersion locallyCommittedVersion_ { 0 };
};

}
