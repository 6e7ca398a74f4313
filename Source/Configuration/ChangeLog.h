#pragma once

#include "Configuration/ConfigurationMessages.h"
#include "Core/Clock.h"
#include "Core/ResultCode.h"

#include <deque>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class ChangeState {
    Proposed,
    // Final: the change never comes into force on any entry.
    Refused,
    // The table did not respond to the commit. The change is already, or will later be, either
    // committed or refused.
    Undecided,
    // Committed in the table; not yet known to be in force.
    Committed,
    // In force: no entry admits work under an older version after TimeLimits::inForceBound.
    Accepted,
};

// Returns the name of a state as shown to operators, for example "undecided".
std::string_view changeStateName(ChangeState state);

// A change as shown to operators.
struct ChangeRecord {
    std::string id;
    std::string section;
    std::string team;
    ChangeState state { ChangeState::Proposed };
    // The version that the change creates; 0 until it is committed.
    ConfigurationVersion version { 0 };
    ResultCode code { ResultCode::Ok };
    std::string reason;
    WallTime submittedAt;
    WallTime changedAt;
    // The slots known to have the version, or a newer one, in force.
    std::vector<std::string> inForceOn;
};

// The changes that this entry has coordinated or learned of since its start, oldest first.
class ChangeLog {
public:
    explicit ChangeLog(const Clock& clock);

    void add(const std::string& id, const std::string& section, const std::string& team);

    // Adds a committed change that another entry coordinated, unless its id is already in the log.
    void addRemoteChange(const CommittedDocument& document);

    void setState(const std::string& id, ChangeState state);
    void refuse(const std::string& id, ResultCode code, const std::string& reason);
    void setReason(const std::string& id, ResultCode code, const std::string& reason);
    void setCommitted(const std::string& id, ConfigurationVersion version);
    // Sets the state of committed changes up to this version to Accepted.
    void acceptUpTo(ConfigurationVersion version);

    // Returns a change by its id. Throws Error(UnknownChange).
    const ChangeRecord& find(const std::string& id) const;

    const std::deque<ChangeRecord>& records() const { return records_; }

private:
    ChangeRecord* findOrNull(const std::string& id);
    void append(ChangeRecord record);

    const Clock& clock_;
    std::deque<ChangeRecord> records_;
};

}
