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

void AdmissionGate::hear(ConfigurationVersion version, TimePoint now)
{
    if (version <= inForce_ || graceFrom_.count(version) > 0)
        return;
    // An entry that was paused or cut off hears the news long after others have switched. Its
    // grace period starts no later than the end of its last lease.
    graceFrom_[version] = std::min(now, evidenceAt(now).value_or(now) + limits_.contactLease);
}

void AdmissionGate::switchTo(ConfigurationVersion version)
{
    inForce_ = version;
    graceFrom_.erase(graceFrom_.begin(), graceFrom_.upper_bound(version));
}

ConfigurationVersion AdmissionGate::heard() const
{
    return graceFrom_.empty() ? inForce_ : graceFrom_.rbegin()->first;
}

std::optional<TimePoint> AdmissionGate::halfContactAt(TimePoint now) const
{
    // The entry itself is one of the slots.
    std::size_t othersNeeded = (slotCount_ + 1) / 2 - 1;
    if (othersNeeded == 0)
        return now;
    std::vector<TimePoint> times;
    for (const auto& [slot, asOf] : contacts_)
        times.push_back(asOf);
    if (times.size() < othersNeeded)
        return std::nullopt;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(othersNeeded) - 1, times.end(), std::greater<>());
    return times[othersNeeded - 1];
}

std::optional<TimePoint> AdmissionGate::evidenceAt(TimePoint now) const
{
    return std::max(headSentAt_, halfContactAt(now));
}

bool AdmissionGate::hasEvidence(TimePoint now) const
{
    std::optional<TimePoint> evidence = evidenceAt(now);
    return evidence && isFresh(*evidence, now);
}

bool AdmissionGate::isWithinGrace(TimePoint now) const
{
    // The earliest counts: a later change must not extend the time under a version that an earlier one replaced.
    return std::all_of(graceFrom_.begin(), graceFrom_.end(),
        [this, now](const auto& heard) { return now - heard.second <= limits_.switchGrace; });
}

bool AdmissionGate::hasContact(const std::string& slot, TimePoint now) const
{
    auto contact = contacts_.find(slot);
    return contact != contacts_.end() && isFresh(contact->second, now);
}

}
