#pragma once

#include "Configuration/AdmissionGate.h"
#include "Configuration/ConfigurationStore.h"

#include <memory>
#include <set>
#include <vector>

namespace Damaskgrade {

using DocumentPointer = std::shared_ptr<const CommittedDocument>;

// Whether new work may be admitted now, under which version, and if not, why.
struct Admission {
    bool isAllowed { false };
    ConfigurationVersion version { 0 };
    std::string reason;
};

// What one entry knows: the committed document, the one in force, and what each slot has
// learned. Versions only rise.
class MemberState {
public:
    MemberState(std::string self, const std::vector<std::string>& slots, const TimeLimits& limits);

    // False until the head row and the committed document have been read since the start.
    bool isInitialized() const { return learned_ != nullptr; }

    const DocumentPointer& learned() const { return learned_; }
    const DocumentPointer& inForce() const { return inForce_; }
    ConfigurationVersion learnedVersion() const { return learned_ ? learned_->version : 0; }
    ConfigurationVersion inForceVersion() const { return inForce_ ? inForce_->version : 0; }
    ConfigurationVersion highestCommittedVersion() const { return gate_.highestCommitted(); }
    const std::optional<HeadState>& head() const { return head_; }

    void recordCommitted(ConfigurationVersion version, TimePoint now) { gate_.recordCommitted(version, now); }
    void recordHead(const HeadState& head, TimePoint now);
    // A slot has learned these versions, now or earlier.
    void recordVersions(const std::string& slot, const VersionDigest& versions, TimePoint now);
    // A slot was initialized and had these versions at some time not before asOf.
    void recordContact(const std::string& slot, const VersionDigest& versions, TimePoint asOf, TimePoint now);

    // Takes a document that is known to be committed. Returns whether it is newer than the one held.
    bool recordDocument(DocumentPointer document, TimePoint now);

    // Puts the learned version in force if that is safe. Returns whether it did.
    bool trySwitch();

    Admission admission(TimePoint now) const;

    bool isMajority(std::size_t count) const { return 2 * count > slots_.size(); }
    bool hasContact(const std::string& slot, TimePoint now) const { return gate_.hasContact(slot, now); }
    std::vector<std::string> slotsInForce(ConfigurationVersion version) const;
    VersionDigest digest() const { return { learnedVersion(), inForceVersion() }; }

private:
    bool isInForceSomewhere(ConfigurationVersion version) const;

    std::string self_;
    std::vector<std::string> slots_;
    AdmissionGate gate_;
    std::optional<HeadState> head_;
    DocumentPointer learned_;
    DocumentPointer inForce_;
    std::map<std::string, VersionDigest> versions_;
};

}
