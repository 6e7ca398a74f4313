#include "Gateway/EntryRegistration.h"

#include "Core/SystemClock.h"
#include "FreeEndpoint.h"
#include "LoopRunner.h"
#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

// A table that executes operations at once.
struct DirectTable : Table {
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override { done(content.read(keys)); }
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(content.scan(prefix)); }
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override { done(content.write(writes)); }

    MemoryTable content;
};

struct RegistrationFixture {
    RegistrationFixture()
    {
        PeerGroupSettings peerSettings;
        peerSettings.name = "a";
        peerSettings.link = freeEndpoint();
        PeerGroupHooks hooks { [] { return EntryStateMessage(); }, [](const EntryStateMessage&) {}, [](const std::string&) {}, [](const FleetMessage&) {}, [](const std::string&, bool) {} };
        peers = std::make_unique<PeerGroup>(loop, clock, random, peerSettings, hooks);
        EntryRegistrationSettings settings;
        settings.name = "a";
        settings.link = peerSettings.link;
        settings.retryDelay = std::chrono::milliseconds(10);
        // Longer than the test, so that only readAgain() reads the rows.
        settings.readPeriod = std::chrono::hours(1);
        table.content.write({ { "entries/b", "127.0.0.1:9", std::nullopt } });
        registration = std::make_unique<EntryRegistration>(loop, table, *peers, settings);
    }

    bool hasRow() const { return !table.content.read({ "entries/a" }).rows.empty(); }

    SystemClock clock;
    EventLoop loop;
    Random random { 1 };
    DirectTable table;
    std::unique_ptr<PeerGroup> peers;
    std::unique_ptr<EntryRegistration> registration;
};

}

// Guards against an entry that others can't discover, and one that is listed although it has ended, because the table has
// lost a write.
TEST_CASE("the row of an entry is written or deleted again after the table has lost writes")
{
    RegistrationFixture fixture;
    REQUIRE(fixture.hasRow());
    MemoryTable withRow = fixture.table.content;
    fixture.table.content = MemoryTable();
    fixture.registration->readAgain();
    CHECK(runLoopUntil(fixture.loop, [&] { return fixture.hasRow(); }));
    fixture.registration->unregister();
    fixture.table.content = withRow;
    fixture.registration->readAgain();
    CHECK(!fixture.hasRow());
}

}
