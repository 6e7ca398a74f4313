#include "Configuration/AdmissionGate.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace Damaskgrade {

AdmissionGate::AdmissionGate(std::size_t slotCount, const TimeLimits& limits)
    : slotCount_(slotCount)
    , limits_(limits)
{
}

void AdmissionGate::recordHead(TimePoint sentAt)
{
    headSentAt_ = std::max(headSentAt_.value_or(sentAt), sentAt);
}

void AdmissionGate::recordContact(const std::string& slot, TimePoint asOf)
{
    auto [contact, isNew] = contacts_.emplace(slot, asOf);
    if (!isNew)
        contact->second = std::max(contact->second, asOf);
}

void AdmissionGate::recordCommitted(ConfigurationVersion version, TimePoint now)
{
    if (version <= inForce_ || graceStarts_.count(version) > 0)
        return;
    // An entry that was paused or disconnected learns of the commit long after its peers have
    // switched. Its grace period therefore starts no later than the end of its last contact lease.
    graceStarts_[version] = std::min(now, evidenceTime(now).value_or(now) + limits_.contactLease);
}

void AdmissionGate::switchTo(ConfigurationVersion version)
{
    inForce_ = version;
    graceStarts_.erase(graceStarts_.begin(), graceStarts_.upper_bound(version));
}

ConfigurationVersion AdmissionGate::highestCommitted() const
{
    return graceStarts_.empty() ? inForce_ : graceStarts_.rbegin()->first;
}

std::optional<TimePoint> AdmissionGate::halfContactTime(TimePoint now) const
{
    // The local entry counts as one of the slots.
    std::size_t peersNeeded = (slotCount_ + 1) / 2 - 1;
    if (peersNeeded == 0)
        return now;
    std::vector<TimePoint> times;
    for (const auto& [slot, asOf] : contacts_)
        times.push_back(asOf);
    if (times.size() < peersNeeded)
        return std::nullopt;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(peersNeeded) - 1, times.end(), std::greater<>());
    return times[peersNeeded - 1];
}

std::optional<TimePoint> AdmissionGate::evidenceTime(TimePoint now) const
{
    return std::max(headSentAt_, halfContactTime(now));
}

bool AdmissionGate::hasEvidence(TimePoint now) const
{
    std::optional<TimePoint> evidence = evidenceTime(now);
    return evidence && isFresh(*evidence, now);
}

bool AdmissionGate::isWithinGrace(TimePoint now) const
{
    // The earliest grace period decides: a later change must not extend the time under a version
    // that an earlier change has replaced.
    return std::all_of(graceStarts_.begin(), graceStarts_.end(),
        [this, now](const auto& graceStart) { return now - graceStart.second <= limits_.switchGrace; });
}

bool AdmissionGate::hasContact(const std::string& slot, TimePoint now) const
{
    auto contact = contacts_.find(slot);
    return contact != contacts_.end() && isFresh(contact->second, now);
}

}
