#include "Gateway/SelectionRules.h"

#include "Core/ManualClock.h"
#include "Forwarding/ServerSelector.h"

#include <doctest/doctest.h>

#include <string>

namespace Damaskgrade {

namespace {

// Two servers in different zones.
struct Fixture {
    explicit Fixture(bool mustBeKnown)
    {
        FleetSnapshot snapshot;
        snapshot.position.revision = 1;
        for (std::string zone : { "a", "b" }) {
            ServerRecord server;
            server.id = "server-" + zone;
            server.service = "app";
            server.availabilityZone = zone;
            server.slots = 4;
            snapshot.servers.push_back(server);
        }
        fleet.apply(snapshot, clock.now());
        selector.addRule(makeEvacuationRule(evacuations, mustBeKnown));
    }

    std::string selected()
    {
        ServerSelection selection = selector.select("app", {}, true);
        if (selection.kind == SelectionKind::Excluded)
            return std::string(selection.excludingRule);
        return selection.server ? selection.server->id : "";
    }

    ManualClock clock;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    InFlightTracker loads { clock, std::chrono::seconds(1) };
    OutlierDetector outliers { clock, {} };
    ServerRateLimits rateLimits { clock, "test", {}, nullptr };
    Random random { 3 };
    ServerSelector selector { clock, fleet, loads, outliers, rateLimits, random, { "a" } };
    ZoneEvacuations evacuations { clock, {}, [](const std::string&, bool, const EvacuationPosition&, bool) {} };
};

}

// Guards against requests to servers of an evacuated zone, and against a request that waits although all zones are evacuated.
TEST_CASE("servers of an evacuated zone are excluded, also when a connection to them is open")
{
    Fixture fixture(false);
    CHECK(fixture.selected() == "server-a");
    fixture.evacuations.apply({ { 1, 2 }, true, { { "a", false }, { "unknown", false } } });
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.selected() == "server-b");
    CHECK(fixture.selector.isExcludedByNow(*fixture.fleet.find("server-a"), { "app", {}, false }));
    CHECK(!fixture.selector.isExcludedByNow(*fixture.fleet.find("server-b"), { "app", {}, false }));
    fixture.evacuations.apply({ { 1, 3 }, false, { { "b", false } } });
    CHECK(fixture.selected() == "evacuation");
    CHECK(!fixture.selector.select("app", {}, true).retryAfter);
    fixture.evacuations.apply({ { 1, 4 }, false, { { "a", true } } });
    CHECK(fixture.selected() == "server-a");
}

// Guards against an entry that serves an evacuated zone because it has just started.
TEST_CASE("nothing is sent before the evacuations are known, where they must be")
{
    Fixture fixture(true);
    CHECK(fixture.selected() == "evacuation");
    fixture.evacuations.applyPeer({ true, { 1, 2 }, { "a" } });
    CHECK(fixture.selected() == "server-b");
}

}
