#pragma once

#include "Configuration/AdmissionGate.h"
#include "Configuration/ConfigurationStore.h"

#include <memory>
#include <set>
#include <vector>

namespace Damaskgrade {

using DocumentPointer = std::shared_ptr<const CommittedDocument>;

// Whether new work may be admitted now, and under which version. `reason` says why not, and is
// empty if work is admitted.
struct Admission {
    bool isAllowed { false };
    ConfigurationVersion version { 0 };
    std::string reason;
};

// The configuration state of one entry: the newest committed document that it has learned, the
// document in force, and the versions that each slot has reported. Versions never decrease.
class MemberState {
public:
    MemberState(std::string self, const std::vector<std::string>& slots, const TimeLimits& limits);

    // Returns false until the head row and the committed document have been read from the table since
    // the start.
    bool isInitialized() const { return learned_ != nullptr; }

    const DocumentPointer& learned() const { return learned_; }
    const DocumentPointer& inForce() const { return inForce_; }
    ConfigurationVersion learnedVersion() const { return learned_ ? learned_->version : 0; }
    ConfigurationVersion inForceVersion() const { return inForce_ ? inForce_->version : 0; }
    ConfigurationVersion highestCommittedVersion() const { return gate_.highestCommitted(); }
    const std::optional<HeadState>& head() const { return head_; }

    void recordCommitted(ConfigurationVersion version, TimePoint now) { gate_.recordCommitted(version, now); }
    void recordHead(const HeadState& head, TimePoint now);
    // Returns whether the table has lost a committed document that this entry has learned. Cleared when the head row names
    // the document again.
    bool hasTableLostCommit() const { return isHeadOlder_ && head_ && head_->row.committed < learnedVersion(); }
    // Records that a slot has learned these versions, now or earlier.
    void recordVersions(const std::string& slot, const VersionDigest& versions, TimePoint now);
    // Records contact with a slot that has read the table since its start and had these versions
    // at asOf or later.
    void recordContact(const std::string& slot, const VersionDigest& versions, TimePoint asOf, TimePoint now);

    // Stores a document that is known to be committed if it is newer than the current one.
    // Returns whether it was stored.
    bool recordDocument(DocumentPointer document, TimePoint now);

    // Switches to the learned version if it is in force elsewhere or a majority of the slots has
    // learned it. Returns whether it switched.
    bool trySwitch();

    Admission admission(TimePoint now) const;

    bool isMajority(std::size_t count) const { return 2 * count > slots_.size(); }
    bool hasContact(const std::string& slot, TimePoint now) const { return gate_.hasContact(slot, now); }
    std::vector<std::string> slotsInForce(ConfigurationVersion version) const;
    VersionDigest digest() const { return { learnedVersion(), inForceVersion() }; }

private:
    bool isSafeToSwitchTo(ConfigurationVersion version) const;

    std::string self_;
    std::vector<std::string> slots_;
    AdmissionGate gate_;
    std::optional<HeadState> head_;
    TimePoint headReceivedAt_;
    // The last head row is older than one that was received before it was requested.
    bool isHeadOlder_ { false };
    DocumentPointer learned_;
    DocumentPointer inForce_;
    std::map<std::string, VersionDigest> versions_;
};

}
