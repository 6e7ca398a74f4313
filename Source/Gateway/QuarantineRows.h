#pragma once

#include "Core/Clock.h"
#include "Platform/Table.h"
#include "Quarantine/PromptQuarantine.h"
#include "Transport/EventLoop.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

struct QuarantineRowsSettings {
    // Delay before a failed read or write is repeated.
    std::chrono::milliseconds retryDelay { 500 };
    // Rows of crashes that are older are deleted by an entry that starts.
    std::chrono::hours maxAge { 48 };
};

// Stores the blocked prompt parts in the table, so that entries which are all restarted at once still know them. An entry
// reads the rows at its start, and writes those of the parts whose block or clearance it has found itself, again if the
// table has lost writes.
class QuarantineRows {
public:
    QuarantineRows(EventLoop& loop, const Clock& clock, Table& table, PromptQuarantine& quarantine, QuarantineRowsSettings settings);

    // Writes the row of a part, or deletes it if the part is not suspect any more. Repeats this until it succeeds.
    void update(PromptPart part);

    // Writes the rows again that this entry has written, because the table may have lost them.
    void writeAgain();

private:
    void read();
    void handleRows(const std::vector<TableRow>& rows);
    void write();
    TableWrite makeWrite(PromptPart part) const;

    EventLoop& loop_;
    const Clock& clock_;
    Table& table_;
    PromptQuarantine& quarantine_;
    QuarantineRowsSettings settings_;
    // Parts whose rows are to be written.
    std::set<PromptPart> pending_;
    // Parts whose rows this entry has written or deleted.
    std::set<PromptPart> updated_;
    std::vector<std::string> expiredKeys_;
    bool isWriting_ { false };
    std::unique_ptr<Timer> readTimer_;
    std::unique_ptr<Timer> writeTimer_;
    // Destroyed with this object. Callbacks of the table hold a weak reference to detect this.
    std::shared_ptr<int> alive_ { std::make_shared<int>(0) };
};

}
