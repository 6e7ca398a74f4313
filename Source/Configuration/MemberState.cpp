#include "Configuration/MemberState.h"

#include <algorithm>

namespace Damaskgrade {

MemberState::MemberState(std::string self, const std::vector<std::string>& slots, const TimeLimits& limits)
    : self_(std::move(self))
    , slots_(slots)
    , gate_(slots.size(), limits)
{
}

void MemberState::recordHead(const HeadState& head, TimePoint now)
{
    gate_.recordCommitted(head.row.committed, now);
    gate_.recordHead(head.sentAt);
    // An older row can be a late response. If it was requested after the newer one was received, the table has lost writes.
    bool isOlder = head_ && head.rowVersion < head_->rowVersion;
    if (isOlder && head.sentAt <= headReceivedAt_)
        return;
    isHeadOlder_ = isOlder || (isHeadOlder_ && head.rowVersion == head_->rowVersion);
    head_ = head;
    headReceivedAt_ = now;
}

void MemberState::recordVersions(const std::string& slot, const VersionDigest& versions, TimePoint now)
{
    gate_.recordCommitted(versions.learned, now);
    VersionDigest& known = versions_[slot];
    known.learned = std::max(known.learned, versions.learned);
    known.inForce = std::max(known.inForce, versions.inForce);
}

void MemberState::recordContact(const std::string& slot, const VersionDigest& versions, TimePoint asOf, TimePoint now)
{
    recordVersions(slot, versions, now);
    gate_.recordContact(slot, asOf);
}

bool MemberState::recordDocument(DocumentPointer document, TimePoint now)
{
    if (document->version <= learnedVersion())
        return false;
    learned_ = std::move(document);
    recordVersions(self_, digest(), now);
    return true;
}

bool MemberState::trySwitch()
{
    ConfigurationVersion version = learnedVersion();
    if (version <= inForceVersion() || !isSafeToSwitchTo(version))
        return false;
    inForce_ = learned_;
    gate_.switchTo(version);
    versions_[self_].inForce = version;
    return true;
}

bool MemberState::isSafeToSwitchTo(ConfigurationVersion version) const
{
    if (head_ && head_->row.inForce >= version)
        return true;
    std::size_t learnedCount = 0;
    for (const auto& [slot, versions] : versions_) {
        if (versions.inForce >= version)
            return true;
        if (versions.learned >= version)
            ++learnedCount;
    }
    return isMajority(learnedCount);
}

Admission MemberState::admission(TimePoint now) const
{
    Admission admission;
    admission.version = inForceVersion();
    if (!isInitialized())
        admission.reason = "the configuration has not been read from the table since the start";
    else if (!inForce_)
        admission.reason = "version " + std::to_string(learnedVersion()) + " is committed, but not yet known to be in force";
    else if (!gate_.isWithinGrace(now))
        admission.reason = "version " + std::to_string(highestCommittedVersion()) + " is committed and this entry can't switch to it";
    else if (!gate_.hasEvidence(now))
        admission.reason = "no contact with the table or with half of the entry slots";
    admission.isAllowed = admission.reason.empty();
    return admission;
}

std::vector<std::string> MemberState::slotsInForce(ConfigurationVersion version) const
{
    std::vector<std::string> slots;
    for (const auto& [slot, versions] : versions_) {
        if (versions.inForce >= version)
            slots.push_back(slot);
    }
    return slots;
}

}
