#include "StreamCapacity/StreamCapacity.h"

#include "Core/ManualClock.h"
#include "StreamCapacity/StreamSimulation.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

Catalog catalogWith(const std::vector<std::int32_t>& priorities, const std::optional<EngineModel>& engine = publishedEngine(), RequestKind kind = RequestKind::Streaming)
{
    std::vector<Route> routes;
    for (std::int32_t priority : priorities) {
        Route route;
        route.name = std::to_string(priority);
        route.host = "host";
        route.prefix = "/" + route.name + "/";
        route.kind = kind;
        route.priority = priority;
        route.targetGap = std::chrono::milliseconds(120);
        route.services = { { "model", 1 } };
        routes.push_back(route);
    }
    ServiceSpecification service;
    service.name = "model";
    service.engine = engine;
    return Catalog(1, routes, { service }, {}, {});
}

struct Fixture {
    explicit Fixture(StreamCapacityMode mode = StreamCapacityMode::Auto)
        : capacity(clock, fleet, loads, { mode }, [this](const std::string&, bool isActive) { changes.push_back(isActive); })
    {
        FleetSnapshot snapshot;
        snapshot.position.revision = 1;
        for (const char* id : { "a", "b" }) {
            ServerRecord server;
            server.id = id;
            server.service = "model";
            server.slots = 10;
            snapshot.servers.push_back(server);
        }
        fleet.apply(snapshot, clock.now());
    }

    std::optional<double> bound(RequestUrgency urgency = {}) { return capacity.capacity(*fleet.find("a"), urgency); }

    ManualClock clock;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    InFlightTracker loads { clock, std::chrono::seconds(1) };
    std::vector<bool> changes;
    StreamCapacity capacity;
};

}

// Guards against a change for services for which the bound is not wanted.
TEST_CASE("the bound applies to services whose streaming routes differ in priority")
{
    Fixture fixture;
    CHECK(!fixture.bound());
    fixture.capacity.applyCatalog(catalogWith({ 0 }));
    CHECK(!fixture.bound());
    fixture.capacity.applyCatalog(catalogWith({ 0, 1 }, publishedEngine(), RequestKind::Idempotent));
    CHECK(!fixture.bound());
    fixture.capacity.applyCatalog(catalogWith({ 0, 1 }, std::nullopt));
    CHECK(!fixture.bound());
    fixture.capacity.applyCatalog(catalogWith({ 0, 1 }, EngineModel()));
    CHECK(!fixture.bound());
    CHECK(fixture.changes.empty());
    fixture.capacity.applyCatalog(catalogWith({ 0, 1 }));
    CHECK(fixture.bound());
    fixture.capacity.applyCatalog(catalogWith({ 0, 1 }));
    fixture.capacity.applyCatalog(catalogWith({ 1 }));
    CHECK(!fixture.bound());
    CHECK(fixture.changes == std::vector<bool> { true, false });
}

// Guards against a switch without effect.
TEST_CASE("the mode overrides the configuration")
{
    Fixture on(StreamCapacityMode::On);
    on.capacity.applyCatalog(catalogWith({ 0 }));
    CHECK(on.bound());
    on.capacity.applyCatalog(catalogWith({ 0 }, std::nullopt));
    CHECK(!on.bound());
    Fixture off(StreamCapacityMode::Off);
    off.capacity.applyCatalog(catalogWith({ 0, 1 }));
    CHECK(!off.bound());
}

// Guards against a service that is stopped by its estimate, and against a bound above the slots.
TEST_CASE("the bound is between a quarter of the slots and the slots")
{
    Fixture fixture;
    fixture.capacity.applyCatalog(catalogWith({ 0, 1 }));
    for (int i = 0; i < 3000; ++i) {
        fixture.clock.advance(std::chrono::milliseconds(5));
        fixture.capacity.recordPause(*fixture.fleet.find("a"), std::chrono::milliseconds(200));
    }
    CHECK(fixture.bound() == 3);
    for (int i = 0; i < 30000; ++i) {
        fixture.clock.advance(std::chrono::milliseconds(5));
        fixture.capacity.recordPause(*fixture.fleet.find("a"), std::chrono::milliseconds(34));
    }
    CHECK(fixture.bound() == 10);
}

// Guards against entries that all fill the same room because their counts of each other are old.
TEST_CASE("an entry that has used its share sends more only while there is room for other entries")
{
    Fixture fixture;
    fixture.capacity.applyCatalog(catalogWith({ 0, 1 }));
    double bound = *fixture.bound();
    fixture.capacity.setEntryCount(4);
    // Half of the room is free.
    for (int i = 0; i < static_cast<int>(bound); ++i)
        fixture.loads.started("a");
    CHECK(fixture.bound() == bound);
    // A quarter is this entry's share, and the other entries use the rest.
    fixture.loads.setPeerCounts("peer", { { "b", static_cast<std::uint32_t>(bound) } });
    fixture.clock.advance(std::chrono::milliseconds(20));
    CHECK(fixture.bound() == 0);
    for (int i = 0; i < static_cast<int>(bound); ++i)
        fixture.loads.finished("a");
    fixture.loads.setPeerCounts("peer", { { "a", static_cast<std::uint32_t>(bound) }, { "b", static_cast<std::uint32_t>(bound) } });
    CHECK(fixture.bound() == bound);
}

}
