#include "Gateway/QuarantineRows.h"

#include "Core/ManualClock.h"
#include "LoopRunner.h"
#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PromptPart crashing = 0x12ca9047f126;

// A table that executes operations at once while it is up.
struct StoredTable : Table {
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override { done(isUp ? table.read(keys) : TableReadResult()); }
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(isUp ? table.scan(prefix) : TableReadResult()); }
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override { done(isUp ? table.write(writes) : TableWriteResult()); }

    MemoryTable table;
    bool isUp { true };
};

// One start of an entry. The table and the clock outlive it.
struct EntryStart {
    EntryStart(EventLoop& loop, const Clock& clock, Table& table)
        : quarantine(clock, "entry", {}, [this](PromptPart part, QuarantineEvent event, std::uint32_t, bool isLocal) {
            if (isLocal && (event == QuarantineEvent::Blocked || event == QuarantineEvent::Unblocked))
                rows->update(part);
        })
        , rows(std::make_unique<QuarantineRows>(loop, clock, table, quarantine, QuarantineRowsSettings { milliseconds(20) }))
    {
    }

    QuarantineDecision admit(std::uint64_t requester) { return quarantine.admit(std::vector<PromptPart> { crashing }, requester).decision; }
    void crash(TimePoint sentAt) { quarantine.recordCrash(std::vector<CrashCandidate> { { { crashing }, sentAt, true } }); }

    PromptQuarantine quarantine;
    std::unique_ptr<QuarantineRows> rows;
};

}

// Guards against a blocked part that crashes servers again after all entries were killed.
TEST_CASE("a blocked prompt part is still blocked after a restart, and free once it was cleared")
{
    EventLoop loop;
    ManualClock clock;
    StoredTable table;
    {
        EntryStart first(loop, clock, table);
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        first.crash(sentAt);
    }
    clock.advance(seconds(10));
    {
        EntryStart second(loop, clock, table);
        CHECK(second.admit(1) == QuarantineDecision::Refuse);
        clock.advance(seconds(20));
        CHECK(second.admit(2) == QuarantineDecision::Wait);
        second.quarantine.recordResponse(std::vector<PromptPart> { crashing });
    }
    CHECK(table.table.scan("quarantine/").rows.empty());
    EntryStart third(loop, clock, table);
    CHECK(third.admit(3) == QuarantineDecision::Send);
}

// Guards against a block that is lost because the table was unavailable when it was found or when an entry started.
TEST_CASE("a blocked prompt part is stored and read when the table is available again")
{
    EventLoop loop;
    ManualClock clock;
    StoredTable table;
    table.isUp = false;
    EntryStart first(loop, clock, table);
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    first.crash(sentAt);
    EntryStart second(loop, clock, table);
    CHECK(second.admit(1) == QuarantineDecision::Send);
    table.isUp = true;
    CHECK(runLoopUntil(loop, [&] { return table.table.scan("quarantine/").rows.size() == 1; }));
    EntryStart third(loop, clock, table);
    CHECK(third.admit(2) == QuarantineDecision::Refuse);
}

// Guards against rows that stay for ever, and against rows of another writer that stop an entry.
TEST_CASE("old rows are deleted and malformed ones ignored")
{
    EventLoop loop;
    ManualClock clock;
    StoredTable table;
    {
        EntryStart first(loop, clock, table);
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        first.crash(sentAt);
    }
    for (const char* key : { "quarantine/xyz", "quarantine/7", "quarantine/" })
        table.table.write({ { key, "no numbers", std::nullopt } });
    clock.advance(std::chrono::hours(49));
    EntryStart second(loop, clock, table);
    CHECK(second.admit(1) == QuarantineDecision::Send);
    CHECK(table.table.scan("quarantine/").rows.size() == 3);
}

// Guards against a block that only a table knows which has lost it, and against a clearance that it has lost.
TEST_CASE("the rows of blocked and cleared prompt parts are written again after the table has lost writes")
{
    EventLoop loop;
    ManualClock clock;
    StoredTable table;
    MemoryTable beforeBlock = table.table;
    EntryStart entry(loop, clock, table);
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    entry.crash(sentAt);
    MemoryTable beforeClearance = table.table;
    REQUIRE(table.table.scan("quarantine/").rows.size() == 1);
    table.table = beforeBlock;
    entry.rows->writeAgain();
    CHECK(table.table.scan("quarantine/").rows.size() == 1);
    clock.advance(seconds(40));
    CHECK(entry.admit(2) == QuarantineDecision::Wait);
    entry.quarantine.recordResponse(std::vector<PromptPart> { crashing });
    table.table = beforeClearance;
    entry.rows->writeAgain();
    CHECK(table.table.scan("quarantine/").rows.empty());
}

}
