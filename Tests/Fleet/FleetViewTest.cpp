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

struct World {
    ManualClock clock;
    std::vector<std::string> left;
    FleetView view { clock, FleetViewSettings(), [this](const ServerRecord& record) { left.push_back(record.id); } };

    void apply(std::uint64_t revision, std::vector<ServerRecord> servers) { view.apply({ revision, std::move(servers) }, clock.now()); }
};

}

// Guards against requests to servers that have left.
TEST_CASE("a server that drains or is gone is ready no more")
{
    World world;
    world.apply(1, { server("a", 1), server("b", 2) });
    CHECK(world.view.ready("s").size() == 2);
    world.apply(2, { server("a", 1, true), server("b", 2) });
    CHECK(world.view.ready("s").size() == 1);
    world.apply(3, { server("a", 1) });
    CHECK(world.view.ready("s").empty());
    CHECK(world.left == std::vector<std::string> { "a", "b" });
}

// Guards against an older read that brings a drained server back.
TEST_CASE("an older snapshot is ignored")
{
    World world;
    world.apply(5, { server("a", 1, true) });
    world.apply(4, { server("a", 1) });
    CHECK(world.view.ready("s").empty());
    world.apply(6, { server("b", 2) });
    world.apply(5, {});
    CHECK(world.view.ready("s").size() == 1);
}

// Guards against the loss of all servers when their entries lapsed with the registry itself.
TEST_CASE("servers that are missing after an outage are kept for the grace period, and no longer")
{
    World world;
    world.apply(1, { server("a", 1), server("b", 2) });
    world.clock.advance(std::chrono::seconds(4));
    world.view.readFailed();
    world.apply(9, { server("b", 2) });
    CHECK(world.view.ready("s").size() == 2);
    world.clock.advance(std::chrono::milliseconds(2400));
    world.apply(10, { server("b", 2) });
    CHECK(world.view.ready("s").size() == 1);
}

// Guards against a removal without an outage that is put off.
TEST_CASE("a server that is missing without an outage is gone at once")
{
    World world;
    world.apply(1, { server("a", 1), server("b", 2) });
    world.clock.advance(std::chrono::seconds(1));
    world.apply(2, { server("b", 2) });
    CHECK(world.view.ready("s").size() == 1);
}

// Guards against requests to the former owner of an address, and against a restart that stays drained.
TEST_CASE("the later start at an address holds, and a restart under the same id is ready again")
{
    World world;
    world.apply(1, { server("a", 1, true, 1) });
    world.apply(2, { server("a", 1, true, 1), server("c", 1, false, 2) });
    REQUIRE(world.view.ready("s").size() == 1);
    CHECK(world.view.ready("s").front()->id == "c");
    world.apply(3, { server("x", 1, false, 3), server("y", 1, false, 4) });
    REQUIRE(world.view.ready("s").size() == 1);
    CHECK(world.view.ready("s").front()->id == "y");
    world.apply(4, { server("a", 1, false, 5) });
    REQUIRE(world.view.ready("s").size() == 1);
    CHECK(world.view.ready("s").front()->id == "a");
}

}
