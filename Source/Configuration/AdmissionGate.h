#pragma once

#include "Configuration/ConfigurationMessages.h"
#include "Membership/TimeLimits.h"

#include <map>
#include <optional>
#include <string>

namespace Damaskgrade {

// Decides whether an entry may still admit work under its version. This requires evidence, no
// older than the contact lease, that no newer version was in force: a read of the head row, or
// contact with at least half of the entry slots. A version is in force only after more than half
// of the slots have learned it, so any half of the slots includes one that reports it.
//
// Evidence carries the time at which its request was sent. A late response or a process pause
// can therefore only make the evidence older.
class AdmissionGate {
public:
    AdmissionGate(std::size_t slotCount, const TimeLimits& limits);

    // Records a successful read of the head row that was sent at this time.
    void recordHead(TimePoint sentAt);

    // Records contact with a slot that has read the table since its start. Its state was current
    // at asOf or later.
    void recordContact(const std::string& slot, TimePoint asOf);

    // Records that a version is committed and starts its grace period. Later calls for the same
    // version have no effect. Must be called before the evidence from the same message is recorded.
    void recordCommitted(ConfigurationVersion version, TimePoint now);

    // Sets the version in force and ends the grace periods of all versions up to it.
    void switchTo(ConfigurationVersion version);

    // Returns the highest version known to be committed.
    ConfigurationVersion highestCommitted() const;

    // Returns whether the last read of the head row, or contact with half of the slots, is no older than
    // the contact lease.
    bool hasEvidence(TimePoint now) const;

    // Returns whether the grace periods of all known newer versions still run. Returns true if no newer
    // version is known.
    bool isWithinGrace(TimePoint now) const;

    // Returns whether the slot was in contact within the contact lease.
    bool hasContact(const std::string& slot, TimePoint now) const;

private:
    bool isFresh(TimePoint time, TimePoint now) const { return now - time <= limits_.contactLease; }
    std::optional<TimePoint> halfContactTime(TimePoint now) const;
    std::optional<TimePoint> evidenceTime(TimePoint now) const;

    std::size_t slotCount_;
    TimeLimits limits_;
    std::optional<TimePoint> headSentAt_;
    std::map<std::string, TimePoint> contacts_;
    // Start of the grace period for each known version above the one in force.
    std::map<ConfigurationVersion, TimePoint> graceStarts_;
    ConfigurationVersion inForce_ { 0 };
};

}
