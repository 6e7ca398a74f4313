#include "RankMaps/ControllerLease.h"

#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

// A table that can return to an earlier content. Operations are executed at once.
class RestorableTable : public Table {
public:
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        TableReadResult result = content.read(keys);
        result.generation = generation;
        if (afterRead)
            std::exchange(afterRead, nullptr)();
        done(result);
    }

    void scan(const std::string&, std::function<void(const TableReadResult&)> done) override { done({}); }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        TableWriteResult result = content.write(writes);
        result.generation = generation;
        done(result);
    }

    void restore(MemoryTable copy)
    {
        content = std::move(copy);
        ++generation;
    }

    MemoryTable content;
    StoreGeneration generation { 1 };
    // Called once, between a read and the use of its result.
    std::function<void()> afterRead;
};

// A candidate, and what it last learned from the lease.
struct Candidate {
    Candidate(Table& table, const std::string& name)
        : lease(
            table, "g", name, [this](std::uint64_t newTerm, const std::string& newController) { term = newTerm; controller = newController; }, [this] { ++failures; })
    {
    }

    std::uint64_t term { 0 };
    std::string controller;
    int failures { 0 };
    ControllerLease lease;
};

}

// Guards against two controllers with one fencing token, of which the table has lost the first.
TEST_CASE("a term is not acquired again after the table has lost its row")
{
    RestorableTable table;
    Candidate first(table, "first");
    first.lease.takeOver(0);
    CHECK(first.term == 1);
    MemoryTable copy = table.content;
    first.lease.takeOver(1);
    CHECK(first.term == 2);
    table.restore(copy);
    Candidate second(table, "second");
    second.lease.takeOver(1);
    CHECK(second.controller == "second");
    CHECK(second.term > first.term);
    CHECK(ControllerLease::generationOf(first.term) == 1);
    CHECK(ControllerLease::generationOf(second.term) == 2);
    table.restore(copy);
    Candidate third(table, "third");
    third.lease.takeOver(1);
    CHECK(third.term > second.term);
}

// Guards against a lease that rests on a condition whose row version was given to another write.
TEST_CASE("a write that is answered by another generation than the read does not acquire the lease")
{
    RestorableTable table;
    MemoryTable empty = table.content;
    Candidate candidate(table, "candidate");
    table.afterRead = [&] { table.restore(empty); };
    candidate.lease.takeOver(0);
    CHECK(candidate.term == 0);
    CHECK(candidate.failures == 1);
    candidate.lease.takeOver(candidate.term);
    candidate.lease.takeOver(candidate.term);
    CHECK(candidate.controller == "candidate");
}

// Guards against terms that begin anew with a table that states no generation.
TEST_CASE("terms rise by one without generations")
{
    RestorableTable table;
    table.generation = 0;
    Candidate candidate(table, "candidate");
    candidate.lease.takeOver(0);
    candidate.lease.takeOver(1);
    CHECK(candidate.term == 2);
}

// Guards against an agent that acts as if the table were unavailable because another agent was faster.
TEST_CASE("of two candidates that read the lease at the same time, the second learns of the first")
{
    RestorableTable table;
    Candidate first(table, "first");
    Candidate second(table, "second");
    table.afterRead = [&] { first.lease.takeOver(0); };
    second.lease.takeOver(0);
    CHECK(first.controller == "first");
    CHECK(second.controller == "first");
    CHECK(second.term == 1);
    CHECK(second.failures == 0);
}

}
