#pragma once

#include "Configuration/ConfigurationRows.h"
#include "Core/Clock.h"

#include <functional>
#include <memory>
#include <optional>

namespace Damaskgrade {

// A read of the head row, dated by when it was sent.
struct HeadState {
    HeadRow row;
    RowVersion rowVersion { absentVersion };
    TimePoint sentAt;
};

// What the table says of a version that a change tried to commit.
struct CommitOutcome {
    HeadState head;
    // The change that made the version, if it was committed.
    std::optional<std::string> changeId;
};

// Reads and writes the configuration's rows. Results are empty if the table is unavailable or
// a row is missing or malformed. No callback is called after the store was destroyed.
class ConfigurationStore {
public:
    ConfigurationStore(Table& table, const Clock& clock);

    void readHead(std::function<void(const std::optional<HeadState>&)> done);
    void readDocument(ConfigurationVersion version, std::function<void(const std::optional<CommittedDocument>&)> done);
    void readOutcome(ConfigurationVersion version, std::function<void(const std::optional<CommitOutcome>&)> done);

    // Commits a document, on the condition that the head row still has this version.
    // Gets Ok, TableConflict or TableUnavailable; the last leaves the outcome open.
    void commit(const HeadState& head, const CommittedDocument& document, std::function<void(ResultCode)> done);

    // Notes in the head row that a committed version is in force.
    void markInForce(const HeadState& head, ConfigurationVersion version, std::function<void(ResultCode)> done);

private:
    Table& table_;
    const Clock& clock_;
    // Callbacks hold a weak reference to it and do nothing once it is gone.
    std::shared_ptr<int> lifetime_ { std::make_shared<int>(0) };
};

}
