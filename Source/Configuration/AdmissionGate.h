#pragma once

#include "Configuration/ConfigurationMessages.h"
#include "Membership/TimeLimits.h"

#include <map>
#include <optional>
#include <string>

namespace Damaskgrade {

// Says how long an entry may admit work under its version. It needs evidence, no older than
// the contact lease, that no newer version had come in force: a read of the head row, or
// contact with at least half of the slots. A version in force was learned by more than half,
// so that half of the slots always include one that reports it.
//
// Evidence is dated by when the question was sent. A late answer and a pause therefore only make it older.
class AdmissionGate {
public:
    AdmissionGate(std::size_t slotCount, const TimeLimits& limits);

    // The head row was read, and the read was sent at this time.
    void recordHead(TimePoint sentAt);

    // A slot that had been initialized from the table had a known state at some time not before asOf.
    void recordContact(const std::string& slot, TimePoint asOf);

    // The entry has heard that a version is committed. The first time counts. To be called
    // before the evidence that brings the news is recorded.
    void recordCommitted(ConfigurationVersion version, TimePoint now);

    // Versions up to this one no longer stop admission.
    void switchTo(ConfigurationVersion version);

    ConfigurationVersion highestCommitted() const;

    bool hasEvidence(TimePoint now) const;
    bool isWithinGrace(TimePoint now) const;

    // Returns whether there was contact with a slot within the contact lease.
    bool hasContact(const std::string& slot, TimePoint now) const;

private:
    bool isFresh(TimePoint time, TimePoint now) const { return now - time <= limits_.contactLease; }
    std::optional<TimePoint> halfContactTime(TimePoint now) const;
    std::optional<TimePoint> evidenceTime(TimePoint now) const;

    std::size_t slotCount_;
    TimeLimits limits_;
    std::optional<TimePoint> headSentAt_;
    std::map<std::string, TimePoint> contacts_;
    // When the grace period started for each version above the one in force.
    std::map<ConfigurationVersion, TimePoint> graceStarts_;
    ConfigurationVersion inForce_ { 0 };
};

}
