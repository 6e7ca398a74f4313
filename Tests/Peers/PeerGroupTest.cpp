#include "Peers/PeerGroup.h"

#include "Core/SystemClock.h"
#include "FreeEndpoint.h"
#include "LoopRunner.h"
#include "Transport/LinkClient.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

namespace {

// Starts the entries of one deployment on loopback addresses.
class PeerFixture {
public:
    struct Entry {
        std::unique_ptr<PeerGroup> group;
        Endpoint link;
        std::string catalogText;
        std::uint64_t catalogVersion { 0 };
        bool isReady { true };
        int losses { 0 };
        std::string availabilityZone;
        // States received from peers, without and with their requests in flight.
        int statesWithoutCounts { 0 };
        int statesWithCounts { 0 };
    };

    void start(const std::string& name, std::uint64_t incarnation, const std::string& seed)
    {
        Entry& entry = entries[name];
        if (entry.link.port == 0)
            entry.link = freeEndpoint();
        PeerGroupSettings settings;
        settings.name = name;
        settings.link = entry.link;
        settings.statePeriod = std::chrono::milliseconds(30);
        settings.suspectAfter = std::chrono::milliseconds(400);
        settings.reopenAfter = reopenAfter;
        settings.availabilityZone = entry.availabilityZone;
        PeerGroupHooks hooks;
        hooks.localState = [&entry, incarnation] {
            EntryStateMessage state;
            state.incarnation = incarnation;
            state.callers = { "127.0.0.1", 1 };
            state.isReady = entry.isReady;
            state.catalog.version = entry.catalogVersion;
            state.availabilityZone = entry.availabilityZone;
            state.inFlight = InFlightCounts { { "s1", 1 } };
            return state;
        };
        hooks.onState = [&entry](const EntryStateMessage& state) { ++(state.inFlight ? entry.statesWithCounts : entry.statesWithoutCounts); };
        hooks.onCatalogText = [&entry](const std::string& text) { entry.catalogText = text; };
        hooks.onFleet = [](const FleetMessage&) {};
        hooks.onPeerChange = [&entry](const std::string&, bool isAlive) { entry.losses += isAlive ? 0 : 1; };
        entry.group = std::make_unique<PeerGroup>(loop, clock, random, settings, hooks);
        if (!seed.empty())
            entry.group->addAddress("seed " + seed, entries[seed].link);
    }

    bool runUntil(const std::function<bool()>& condition) { return runLoopUntil(loop, condition); }

    std::size_t aliveAt(const std::string& name) { return entries[name].group->alive().size(); }

    std::chrono::milliseconds reopenAfter { 800 };
    SystemClock clock;
    EventLoop loop;
    Random random { 3 };
    std::map<std::string, Entry> entries;
};

}

// Guards against entries that never discover each other's addresses, and against directing callers to entries that
// have stopped.
TEST_CASE("an entry and its only seed discover each other, and the entry is suspected after it has stopped")
{
    PeerFixture fixture;
    fixture.start("a", 1, "");
    fixture.start("b", 1, "a");
    CHECK(fixture.runUntil([&] { return fixture.aliveAt("a") == 1 && fixture.aliveAt("b") == 1; }));
    fixture.entries["b"].group = nullptr;
    CHECK(fixture.runUntil([&] { return fixture.aliveAt("a") == 0 && fixture.entries["a"].losses == 1; }));
    fixture.start("b", 2, "");
    CHECK(fixture.runUntil([&] { return fixture.aliveAt("a") == 1 && fixture.aliveAt("b") == 1; }));
}

// Guards against a restarted entry that learns nothing, because its peers wait on links to its earlier start.
TEST_CASE("the link to a peer is reopened when the peer has restarted")
{
    PeerFixture fixture;
    fixture.reopenAfter = std::chrono::seconds(60);
    fixture.start("a", 1, "");
    int openedLinks = 0;
    LinkHandlers handlers;
    handlers.onOpen = [&openedLinks](const std::shared_ptr<LinkSession>&) { ++openedLinks; };
    handlers.onFrame = [](const std::shared_ptr<LinkSession>&, const Frame&) {};
    handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    EntryStateMessage state;
    state.name = "b";
    state.incarnation = 1;
    state.link = freeEndpoint();
    state.callers = { "127.0.0.1", 1 };
    LinkServer server(fixture.loop, state.link, {}, handlers);
    LinkHandlers clientHandlers = handlers;
    clientHandlers.onOpen = [](const std::shared_ptr<LinkSession>&) {};
    LinkClient client(fixture.loop, fixture.random, fixture.entries["a"].link, {}, clientHandlers);
    REQUIRE(fixture.runUntil([&] { return client.session() != nullptr; }));
    client.session()->send(encodeMessage(state, {}));
    REQUIRE(fixture.runUntil([&] { return openedLinks == 1; }));
    client.session()->send(encodeMessage(state, {}));
    state.incarnation = 2;
    client.session()->send(encodeMessage(state, {}));
    CHECK(fixture.runUntil([&] { return openedLinks >= 2; }));
    CHECK(openedLinks == 2);
}

// Guards against a catalog that does not reach an entry which cannot read the store.
TEST_CASE("a catalog is sent to a peer")
{
    PeerFixture fixture;
    fixture.start("a", 1, "");
    fixture.start("b", 1, "a");
    REQUIRE(fixture.runUntil([&] { return fixture.aliveAt("a") == 1 && fixture.aliveAt("b") == 1; }));
    fixture.entries["a"].group->sendCatalog("b", "version 7");
    CHECK(fixture.runUntil([&] { return fixture.entries["b"].catalogText == "version 7"; }));
}

// Guards against fields that are changed by encoding and decoding.
TEST_CASE("peer messages are unchanged after encoding and decoding, and malformed ones are rejected")
{
    EntryStateMessage state;
    state.name = "n";
    state.incarnation = 5;
    state.link = { "10.0.0.1", 7 };
    state.callers = { "10.0.0.1", 8 };
    state.fleetAge = std::chrono::milliseconds(120);
    state.fleetPosition = { 3, 8 };
    state.leavingServers = { { "s2", 77 } };
    state.catalog = { 7, 2, SourceTime(12), std::nullopt };
    state.inFlight = InFlightCounts { { "s1", 3 } };
    EntryStateMessage copy = decodeEntryState(encodeMessage(state, 0).body);
    CHECK(copy.link == state.link);
    CHECK(copy.fleetAge == state.fleetAge);
    CHECK(copy.fleetPosition.generation == 3);
    CHECK(copy.fleetPosition.revision == 8);
    REQUIRE(copy.leavingServers.size() == 1);
    CHECK(copy.leavingServers[0].id == "s2");
    CHECK(copy.leavingServers[0].startedAt == 77);
    CHECK(copy.catalog.version == 7);
    CHECK(copy.catalog.generation == 2);
    CHECK(copy.catalog.completeUntil == SourceTime(12));
    CHECK(!copy.catalog.answeredAt);
    CHECK(copy.inFlight == state.inFlight);
    FleetMessage fleet;
    fleet.snapshot.position = { 2, 9 };
    fleet.snapshot.servers.push_back({ "i", "s", { "10.0.0.2", 9 }, "z", 4, true, std::chrono::milliseconds(0), 77 });
    FleetMessage fleetCopy = decodeFleet(encodeMessage(fleet, 0).body);
    CHECK(fleetCopy.snapshot.servers == fleet.snapshot.servers);
    CHECK(fleetCopy.snapshot.position.generation == 2);
    CHECK(fleetCopy.snapshot.position.revision == 9);
    CHECK(fleetDigest(fleetCopy.snapshot) == fleetDigest(fleet.snapshot));
    CHECK(fleetCopy.snapshot.servers[0].remainingWarmUp == std::chrono::milliseconds(0));
    // A server that has become cold again, or whose state is unknown, is a change; less time left is none.
    for (std::optional<std::chrono::milliseconds> remaining : { std::optional<std::chrono::milliseconds>(2500), std::optional<std::chrono::milliseconds>() }) {
        FleetMessage cold = fleet;
        cold.snapshot.servers[0].remainingWarmUp = remaining;
        FleetMessage coldCopy = decodeFleet(encodeMessage(cold, 0).body);
        CHECK(coldCopy.snapshot.servers[0].remainingWarmUp == remaining);
        CHECK(fleetDigest(coldCopy.snapshot) != fleetDigest(fleet.snapshot));
        CHECK(!(coldCopy.snapshot.servers == fleet.snapshot.servers));
        coldCopy.snapshot.servers[0].remainingWarmUp = std::chrono::milliseconds(700);
        CHECK(fleetDigest(coldCopy.snapshot) == fleetDigest(cold.snapshot));
    }
    Bytes broken { 0x81, 0x01 };
    CHECK_THROWS(decodeEntryState(broken));
    CHECK_THROWS(decodeFleet(broken));
}

// Guards against bytes between zones that grow with the servers of all zones several times a second.
TEST_CASE_FIXTURE(PeerFixture, "every state has the requests in flight within a zone, and some of them between zones")
{
    entries["a"].availabilityZone = "z1";
    entries["b"].availabilityZone = "z1";
    entries["c"].availabilityZone = "z2";
    start("a", 1, "");
    start("b", 1, "a");
    REQUIRE(runUntil([this] { return aliveAt("a") == 1 && aliveAt("b") == 1; }));
    // The first state of a peer arrives before its zone is known.
    entries["b"].statesWithoutCounts = 0;
    REQUIRE(runUntil([this] { return entries["b"].statesWithCounts >= 10; }));
    CHECK(entries["b"].statesWithoutCounts == 0);
    start("c", 1, "a");
    REQUIRE(runUntil([this] { return aliveAt("c") == 1; }));
    entries["c"].statesWithCounts = 0;
    entries["c"].statesWithoutCounts = 0;
    REQUIRE(runUntil([this] { return entries["c"].statesWithCounts >= 4; }));
    CHECK(entries["c"].statesWithoutCounts >= 2 * entries["c"].statesWithCounts);
}

}
