#include "Calls/ClaimStore.h"
#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>

namespace Damaskgrade {

namespace {

// A table whose operations are queued until the test runs them.
struct ManualTable : Table {
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        steps.push_back([this, keys, done] { done(isUp ? table.read(keys) : TableReadResult()); });
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        steps.push_back([this, prefix, done] { done(table.scan(prefix)); });
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        steps.push_back([this, writes, done] {
            if (!losesWrites)
                lastStatus = table.write(writes).status;
            done({ losesAcknowledgements ? ResultCode::TableUnavailable : lastStatus });
        });
    }

    void run(int count = 1000)
    {
        for (; count && !steps.empty(); --count) {
            std::function<void()> step = std::move(steps.front());
            steps.pop_front();
            step();
        }
    }

    MemoryTable table;
    std::deque<std::function<void()>> steps;
    bool isUp { true };
    bool losesAcknowledgements { false };
    bool losesWrites { false };
    ResultCode lastStatus { ResultCode::Ok };
};

ClaimRecord claimOf(const std::string& owner, std::uint64_t sequence = 1)
{
    ClaimRecord record;
    record.owner = owner;
    record.ticket = { "agent", "1", 1, sequence };
    return record;
}

// Stores the results of writes by name.
struct Results {
    ClaimCallback of(const std::string& name)
    {
        return [this, name](const ClaimResult& result) { byName[name] = result; };
    }

    std::map<std::string, ClaimResult> byName;
};

}

// Guards against a separate transaction for each claim, which would exceed the rate limit of the table.
TEST_CASE("claims that are written during a transaction share the next transaction")
{
    ManualTable table;
    ClaimStore store(table);
    Results results;
    for (int number = 0; number < 20; ++number)
        store.write("row" + std::to_string(number), std::nullopt, claimOf("owner"), results.of(std::to_string(number)));
    table.run();
    CHECK(store.counters().writes == 2);
    CHECK(store.counters().rowsWritten == 20);
    for (const auto& entry : results.byName)
        CHECK(entry.second.status == ResultCode::Ok);
    CHECK(results.byName.size() == 20);
}

// Guards against two owners of one key within an entry, and against a conflict that makes other claims of its batch
// fail.
TEST_CASE("of two claims for one row the first is written, and a conflict does not affect other claims of the batch")
{
    ManualTable table;
    ClaimStore store(table);
    Results results;
    store.write("blocker", std::nullopt, claimOf("x"), results.of("blocker"));
    store.write("row", std::nullopt, claimOf("first"), results.of("first"));
    store.write("row", std::nullopt, claimOf("second"), results.of("second"));
    store.write("other", std::nullopt, claimOf("third"), results.of("third"));
    table.table.write({ { "other2", encodeClaim(claimOf("foreign")), std::nullopt } });
    store.write("other2", std::nullopt, claimOf("fourth"), results.of("fourth"));
    table.run();
    CHECK(results.byName["first"].status == ResultCode::Ok);
    CHECK(results.byName["second"].status == ResultCode::TableConflict);
    CHECK(results.byName["second"].record->owner == "first");
    CHECK(results.byName["third"].status == ResultCode::Ok);
    CHECK(results.byName["fourth"].record->owner == "foreign");
}

// Guards against reporting an applied claim as failed, and against using a claim that was not applied.
TEST_CASE("after a lost acknowledgement the row is read to find out whether the claim was applied")
{
    ManualTable table;
    ClaimStore store(table);
    Results results;
    table.losesAcknowledgements = true;
    store.write("applied", std::nullopt, claimOf("a"), results.of("applied"));
    table.run();
    CHECK(results.byName["applied"].status == ResultCode::Ok);
    table.losesWrites = true;
    store.write("lost", std::nullopt, claimOf("a"), results.of("lost"));
    table.run();
    // The table may still apply the write.
    CHECK(results.byName["lost"].status == ResultCode::TableUnavailable);
    // An earlier claim of the same owner with another ticket must not be taken for this one.
    store.write("applied", std::nullopt, claimOf("a", 2), results.of("ticket"));
    table.run();
    CHECK(results.byName["ticket"].status == ResultCode::TableConflict);
    CHECK(store.counters().lostAcknowledgements == 3);
}

// Guards against overwriting a row that another owner took over.
TEST_CASE("a claim replaces only the expected record")
{
    ManualTable table;
    ClaimStore store(table);
    Results results;
    store.write("row", std::nullopt, claimOf("a"), results.of("a"));
    table.run();
    store.write("row", claimOf("other"), claimOf("b"), results.of("b"));
    table.run();
    CHECK(results.byName["b"].status == ResultCode::TableConflict);
    store.write("row", claimOf("a"), claimOf("c"), results.of("c"));
    // Another client writes the row between the read and the write of the store.
    table.run(1);
    table.table.write({ { "row", encodeClaim(claimOf("d")), std::nullopt } });
    table.run();
    CHECK(results.byName["c"].status == ResultCode::TableConflict);
    CHECK(results.byName["c"].record->owner == "d");
}

// Guards against unlimited memory use while the table is slow.
TEST_CASE("claims beyond the maximum queue length fail")
{
    ManualTable table;
    ClaimStoreSettings settings;
    settings.maxQueued = 1;
    ClaimStore store(table, settings);
    Results results;
    for (const char* name : { "a", "b", "c" })
        store.write(name, std::nullopt, claimOf("owner"), results.of(name));
    CHECK(results.byName.count("c") == 1);
    CHECK(results.byName["c"].status == ResultCode::TableUnavailable);
}

// Guards against answers that are altered when they are stored, and against claims that can't be stored.
TEST_CASE("an answer that is not valid UTF-8 is stored unchanged")
{
    ClaimRecord record = claimOf("owner");
    record.answer = "\xff text";
    record.answer += '\0';
    CHECK(decodeClaim(encodeClaim(record)) == record);
    record.answer = "заявка";
    CHECK(decodeClaim(encodeClaim(record)) == record);
}

// Guards against two idempotency keys that share a row.
TEST_CASE("row keys with different parts are different")
{
    CHECK(claimRowKey("a", "b/c", "d", "e") != claimRowKey("a", "b", "c/d", "e"));
    CHECK(claimRowKey("a%2Fb", "c", "d", "e") != claimRowKey("a/b", "c", "d", "e"));
}

}
