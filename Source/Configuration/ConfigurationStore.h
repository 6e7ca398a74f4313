#pragma once

#include "Configuration/ConfigurationRows.h"
#include "Core/Clock.h"

#include <functional>
#include <memory>
#include <optional>

namespace Damaskgrade {

// A read of the head row, with the time at which the read was sent.
struct HeadState {
    HeadRow row;
    RowVersion rowVersion { absentVersion };
    TimePoint sentAt;
};

// The state of the table for a version that a change tried to commit.
struct CommitOutcome {
    HeadState head;
    // The change that created the version, if the document of the version is in the table.
    std::optional<std::string> changeId;
};

// Reads and writes the rows of the configuration. Results are empty if the table is unavailable
// or a row is missing or malformed. No callback runs after the store is destroyed.
class ConfigurationStore {
public:
    ConfigurationStore(Table& table, const Clock& clock);

    void readHead(std::function<void(const std::optional<HeadState>&)> done);
    void readDocument(ConfigurationVersion version, std::function<void(const std::optional<CommittedDocument>&)> done);
    void readOutcome(ConfigurationVersion version, std::function<void(const std::optional<CommitOutcome>&)> done);

    // Commits a document on the condition that the row version of the head row is unchanged.
    // The result is Ok, TableConflict or TableUnavailable; after TableUnavailable the outcome is
    // unknown.
    void commit(const HeadState& head, const CommittedDocument& document, std::function<void(ResultCode)> done);

    // Records in the head row that a committed version is in force. The condition and the results
    // are the same as for commit().
    void markInForce(const HeadState& head, ConfigurationVersion version, std::function<void(ResultCode)> done);

    // Writes a committed document again that the table has lost, with the version that is in force. The condition and the
    // results are the same as for commit().
    void commitAgain(const HeadState& head, const CommittedDocument& document, ConfigurationVersion inForce, std::function<void(ResultCode)> done);

private:
    Table& table_;
    const Clock& clock_;
    // Callbacks hold a weak reference to it and do nothing after it has expired.
    std::shared_ptr<int> lifetime_ { std::make_shared<int>(0) };
};

}
