#include "Entry/MapGroup.h"

#include "Core/ManualClock.h"
#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

// A table that responds immediately.
class ImmediateTable : public Table {
public:
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override { done(rows_.read(keys)); }
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(rows_.scan(prefix)); }
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override { done(rows_.write(writes)); }

private:
    MemoryTable rows_;
};

// One entry with its map group, and the numbers of orders and load requests that it has sent.
struct TestEntry {
    TestEntry(const std::string& name, const Clock& clock, Table& table, Random& random, EventRecorder& events)
        : group(settingsOf(name), clock, table, random, events, hooks())
    {
    }

    static MapControllerSettings settingsOf(const std::string& name)
    {
        MapControllerSettings settings;
        settings.name = name;
        settings.group = "g";
        settings.members = { "m1", "m2" };
        return settings;
    }

    MapGroupHooks hooks()
    {
        MapGroupHooks result;
        result.sendOrder = [this](const std::string&, const MapOrderMessage&) { ++orders; };
        result.sendLoadRequest = [this](const std::string&, const ExpertLoadRequestMessage&) { ++loadRequests; };
        return result;
    }

    int orders { 0 };
    int loadRequests { 0 };
    MapGroup group;
};

struct MapGroupFixture {
    static constexpr std::chrono::milliseconds tickPeriod { 50 };

    void run(std::chrono::milliseconds time, const std::vector<TestEntry*>& entries)
    {
        for (std::chrono::milliseconds passed { 0 }; passed < time; passed += tickPeriod) {
            clock.advance(tickPeriod);
            for (TestEntry* entry : entries)
                entry->group.tick();
        }
    }

    std::size_t countEvents(EventKind kind) const
    {
        std::size_t count = 0;
        for (const TimelineEvent& event : events.liveBatch().events)
            count += event.kind == kind ? 1 : 0;
        return count;
    }

    ManualClock clock;
    HybridClock hybridClock { clock };
    EventRecorder events { hybridClock, EventRecorderOptions() };
    Random random { 1 };
    ImmediateTable table;
    TestEntry first { "first", clock, table, random, events };
    TestEntry second { "second", clock, table, random, events };
};

}

// Guards against expert load reports that are sent to every entry, and against a group that no entry takes over
// after the entry that holds its lease fails.
TEST_CASE_FIXTURE(MapGroupFixture, "only the lease holder requests load and sends orders, and another entry takes over")
{
    run(std::chrono::seconds(20), { &first, &second });
    CHECK(first.group.controller().holdsLease());
    CHECK_FALSE(second.group.controller().holdsLease());
    CHECK(first.loadRequests >= 2 * 9);
    CHECK(first.orders > 0);
    CHECK(second.loadRequests == 0);
    CHECK(second.orders == 0);
    CHECK(second.group.controller().holder() == "first");
    CHECK(countEvents(EventKind::LeaseAcquired) == 1);

    int loadRequestsBefore = first.loadRequests;
    run(std::chrono::seconds(10), { &second });
    CHECK(second.group.controller().holdsLease());
    CHECK(second.loadRequests > 0);
    CHECK(countEvents(EventKind::LeaseAcquired) == 2);

    // The first entry resumes after a pause.
    run(std::chrono::seconds(10), { &first, &second });
    CHECK_FALSE(first.group.controller().holdsLease());
    CHECK(first.loadRequests == loadRequestsBefore);
    CHECK(countEvents(EventKind::LeaseLost) == 1);
}

}
