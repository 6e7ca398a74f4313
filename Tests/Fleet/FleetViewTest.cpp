#include "Fleet/FleetView.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

ServerRecord server(const std::string& id, std::uint16_t port, bool isDraining = false, std::int64_t startedAt = 1)
{
    ServerRecord record;
    record.id = id;
    record.service = "s";
    record.address = { "10.0.0.1", port };
    record.slots = 4;
    record.isDraining = isDraining;
    record.startedAt = startedAt;
    return record;
}

struct FleetFixture {
    ManualClock clock;
    std::vector<std::string> leftServers;
    FleetView view { clock, FleetViewSettings(), [this](const ServerRecord& record) { leftServers.push_back(record.id); } };

    void apply(std::uint64_t revision, std::vector<ServerRecord> servers, StoreGeneration generation = 1) { view.apply({ { generation, revision }, std::move(servers) }, clock.now()); }
};

}

// Guards against requests to servers that drain or were removed.
TEST_CASE("a server that drains or was removed is no longer ready")
{
    FleetFixture fixture;
    fixture.apply(1, { server("a", 1), server("b", 2) });
    CHECK(fixture.view.ready("s").size() == 2);
    fixture.apply(2, { server("a", 1, true), server("b", 2) });
    CHECK(fixture.view.ready("s").size() == 1);
    fixture.apply(3, { server("a", 1) });
    CHECK(fixture.view.ready("s").empty());
    CHECK(fixture.leftServers == std::vector<std::string> { "a", "b" });
}

// Guards against a delayed read of older data that makes a draining server ready again.
TEST_CASE("an older snapshot is ignored")
{
    FleetFixture fixture;
    fixture.apply(5, { server("a", 1, true) });
    fixture.apply(4, { server("a", 1) });
    CHECK(fixture.view.ready("s").empty());
    fixture.apply(6, { server("b", 2) });
    fixture.apply(5, {});
    CHECK(fixture.view.ready("s").size() == 1);
}

// Guards against removing all servers because their registry records expired during an outage of the registry.
TEST_CASE("servers that are missing after an outage are kept for the grace period and then removed")
{
    FleetFixture fixture;
    fixture.apply(1, { server("a", 1), server("b", 2) });
    fixture.clock.advance(std::chrono::seconds(4));
    fixture.view.recordReadFailure();
    fixture.apply(9, { server("b", 2) });
    CHECK(fixture.view.ready("s").size() == 2);
    fixture.clock.advance(std::chrono::milliseconds(2400));
    fixture.apply(10, { server("b", 2) });
    CHECK(fixture.view.ready("s").size() == 1);
}

// Guards against an outage that counts as over because peers repeat to each other what they knew before it.
TEST_CASE("a confirmation of the last snapshot by a peer does not end an outage")
{
    FleetFixture fixture;
    fixture.apply(1, { server("a", 1), server("b", 2) });
    FleetSnapshot known = fixture.view.lastSnapshot();
    for (int second = 1; second <= 4; ++second) {
        fixture.clock.advance(std::chrono::seconds(1));
        fixture.view.recordReadFailure();
        fixture.view.apply(known, fixture.view.asOf() + std::chrono::milliseconds(600));
    }
    fixture.apply(9, { server("b", 2) });
    CHECK(fixture.view.ready("s").size() == 2);
}

// Guards against a delayed removal if there was no outage.
TEST_CASE("a server that is missing without an outage is removed immediately")
{
    FleetFixture fixture;
    fixture.apply(1, { server("a", 1), server("b", 2) });
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.apply(2, { server("b", 2) });
    CHECK(fixture.view.ready("s").size() == 1);
}

// Guards against requests to the former server at an address, and against a restarted server that remains draining.
TEST_CASE("the server with the later start replaces another at its address, and a restart with the same id is ready again")
{
    FleetFixture fixture;
    fixture.apply(1, { server("a", 1, true, 1) });
    fixture.apply(2, { server("a", 1, true, 1), server("c", 1, false, 2) });
    REQUIRE(fixture.view.ready("s").size() == 1);
    CHECK(fixture.view.ready("s").front()->id == "c");
    fixture.apply(3, { server("x", 1, false, 3), server("y", 1, false, 4) });
    REQUIRE(fixture.view.ready("s").size() == 1);
    CHECK(fixture.view.ready("s").front()->id == "y");
    fixture.apply(4, { server("a", 1, false, 5) });
    REQUIRE(fixture.view.ready("s").size() == 1);
    CHECK(fixture.view.ready("s").front()->id == "a");
}

// Guards against requests to servers that drain or left after the registry has lost its last writes: its revisions are lower.
TEST_CASE("snapshots of a new generation are applied although their revisions are lower, and those of the one before are not")
{
    FleetFixture fixture;
    fixture.apply(60, { server("a", 1), server("b", 2) });
    fixture.apply(41, { server("a", 1, true), server("b", 2) }, 2);
    REQUIRE(fixture.view.ready("s").size() == 1);
    fixture.apply(61, { server("a", 1), server("b", 2), server("c", 3) });
    CHECK(fixture.view.ready("s").size() == 1);
}

// Guards against servers that a copy of the registry lacks, because they registered after it was made.
TEST_CASE("servers that a new generation lacks are kept for the grace period")
{
    FleetFixture fixture;
    fixture.apply(60, { server("a", 1), server("b", 2) });
    fixture.apply(41, { server("a", 1) }, 2);
    CHECK(fixture.view.ready("s").size() == 2);
    fixture.clock.advance(std::chrono::milliseconds(2400));
    fixture.apply(42, { server("a", 1) }, 2);
    CHECK(fixture.view.ready("s").size() == 1);
}

// Guards against requests to servers that have left, and against restarted servers that are taken for them.
TEST_CASE("a server that has left stays away while a copy of the registry lists it, unless it has started again")
{
    FleetFixture fixture;
    fixture.apply(60, { server("a", 1), server("b", 2), server("c", 3), server("d", 4, true) });
    fixture.apply(61, { server("a", 1) });
    REQUIRE(fixture.view.ready("s").size() == 1);
    fixture.apply(41, { server("a", 1), server("b", 2), server("c", 3, false, 7), server("d", 4) }, 2);
    CHECK(fixture.view.find("b") == nullptr);
    CHECK(fixture.view.find("c") != nullptr);
    CHECK(fixture.view.find("d") == nullptr);
    fixture.clock.advance(std::chrono::seconds(5));
    fixture.apply(30, { server("a", 1), server("b", 2) }, 3);
    CHECK(fixture.view.find("b") == nullptr);
    fixture.clock.advance(std::chrono::seconds(11));
    fixture.apply(44, { server("a", 1), server("b", 2) }, 3);
    CHECK(fixture.view.find("b") != nullptr);
}

// Guards against a server that does not come back after its record had expired within one generation.
TEST_CASE("a server that is listed again in the same generation is used again")
{
    FleetFixture fixture;
    fixture.apply(60, { server("a", 1), server("b", 2) });
    fixture.apply(61, { server("a", 1) });
    fixture.apply(62, { server("a", 1), server("b", 2) });
    CHECK(fixture.view.ready("s").size() == 2);
    fixture.apply(12, { server("a", 1), server("b", 2) }, 2);
    CHECK(fixture.view.ready("s").size() == 2);
}

// Guards against requests to a server that has stated that it leaves, because the registry, a peer or a later listing does not
// know it yet, and against a restarted server that is taken for it.
TEST_CASE("a server that has stated that it leaves stays draining until it starts again")
{
    FleetFixture fixture;
    fixture.apply(1, { server("a", 1), server("b", 2) });
    fixture.view.recordLeaving({ "a", 7 });
    fixture.view.recordLeaving({ "unknown", 1 });
    CHECK(fixture.view.ready("s").size() == 2);
    fixture.view.recordLeaving({ "a", 1 });
    fixture.view.recordLeaving({ "a", 1 });
    CHECK(fixture.leftServers == std::vector<std::string> { "a" });
    REQUIRE(fixture.view.statedLeaving().size() == 1);
    CHECK(fixture.view.statedLeaving()[0].id == "a");
    fixture.apply(2, { server("a", 1), server("b", 2) });
    fixture.apply(1, { server("a", 1), server("b", 2) }, 2);
    CHECK(fixture.view.ready("s").size() == 1);
    fixture.apply(3, { server("a", 1, true), server("b", 2) }, 2);
    CHECK(fixture.view.statedLeaving().empty());
    fixture.clock.advance(std::chrono::seconds(20));
    fixture.apply(4, { server("b", 2) }, 2);
    fixture.apply(5, { server("a", 1), server("b", 2) }, 2);
    CHECK(fixture.view.ready("s").size() == 1);
    fixture.apply(6, { server("a", 1, false, 9), server("b", 2) }, 2);
    CHECK(fixture.view.ready("s").size() == 2);
    fixture.view.recordLeaving({ "a", 9 });
    fixture.apply(7, { server("a", 1, false, 10), server("b", 2) }, 2);
    CHECK(fixture.view.statedLeaving().empty());
}

}
