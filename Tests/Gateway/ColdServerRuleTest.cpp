#include "Gateway/SelectionRules.h"

#include "Core/ManualClock.h"
#include "Forwarding/ServerSelector.h"
#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace Damaskgrade {

namespace {

using Milliseconds = std::chrono::milliseconds;

// One entry with two servers in its zone; "s1" is cold for two seconds and "s2" is warm.
struct Fixture {
    explicit Fixture(double requestsPerSecond = 17)
        : limit { requestsPerSecond, std::chrono::seconds(3) }
    {
        for (std::string id : { "s1", "s2" }) {
            ServerRecord server;
            server.id = id;
            server.service = "model";
            server.availabilityZone = "a";
            server.slots = 4;
            server.remainingWarmUp = Milliseconds(0);
            snapshot.servers.push_back(server);
        }
        selector.addRule(makeColdServerRule(servers, shares, counters));
        selector.addRule(makeColdConnectionRule(servers, shares));
        run(std::chrono::seconds(4));
        setRemaining(0, Milliseconds(2000));
    }

    void setRemaining(std::size_t index, std::optional<Milliseconds> remaining)
    {
        snapshot.servers[index].remainingWarmUp = remaining;
        ++snapshot.position.revision;
        fleet.apply(snapshot, clock.now());
        servers.update(fleet.servers(), clock.now());
    }

    void run(Duration duration)
    {
        for (Duration passed { 0 }; passed < duration; passed += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            shares.tick({}, true, false);
        }
    }

    ServerSelection select() { return selector.select("model", {}, true); }
    void send(const std::string& id) { selector.recordSend(*fleet.find(id), { "model", {}, true }); }

    ManualClock clock;
    ColdLimit limit;
    FleetSnapshot snapshot;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    InFlightTracker loads { clock, std::chrono::seconds(1) };
    OutlierDetector outliers { clock, {} };
    ServerRateLimits rateLimits { clock, "test", {}, nullptr };
    Random random { 3 };
    ServerSelector selector { clock, fleet, loads, outliers, rateLimits, random, { "a" } };
    ColdServers servers { clock, {}, [this](std::string_view) { return limit; }, [](const std::string&, bool, std::size_t) {} };
    ColdShares shares { clock, "test", { 1.5, 5 } };
    ColdServerCounters counters;
};

}

// Guards against cold servers that are chosen although a warm one is as free, or that stay idle when the warm ones are fuller.
TEST_CASE("a warm server that is no fuller is preferred to a cold one")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.select().server->id == "s2");
    fixture.loads.started("s2");
    CHECK(fixture.select().server->id == "s2");
    fixture.loads.started("s2");
    CHECK(fixture.select().server->id == "s1");
}

// Guards against sends beyond the share, and against a refusal without the time after which the caller may come again.
TEST_CASE("a cold server beyond the share is excluded with the time of the next send")
{
    Fixture fixture;
    fixture.setRemaining(1, Milliseconds(1000));
    fixture.send("s1");
    CHECK(fixture.select().server->id == "s2");
    fixture.send("s2");
    ServerSelection selection = fixture.select();
    CHECK(selection.kind == SelectionKind::Excluded);
    REQUIRE(selection.retryAfter);
    CHECK(*selection.retryAfter > Milliseconds(50));
    CHECK(*selection.retryAfter < Milliseconds(60));
    CHECK(fixture.counters.sends == 2);
    CHECK(fixture.counters.exclusions > 0);
    fixture.run(Milliseconds(100));
    CHECK(fixture.select().server);
    // An entry that may not send states when the server is warm.
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.setRemaining(1, Milliseconds(700));
    fixture.clock.advance(Milliseconds(200));
    selection = fixture.select();
    CHECK(selection.kind == SelectionKind::Excluded);
    CHECK(selection.retryAfter == Milliseconds(500));
}

// Guards against requests that were selected while the server was warm, or before this entry was frozen, and arrive all at once
// when their connections open.
TEST_CASE("a request that was not counted for a cold server is not sent to it when its connection opens")
{
    Fixture fixture;
    const ServerRecord& warm = *fixture.fleet.find("s2");
    ServerSelectionRequest request { "model", {}, true };
    fixture.send("s2");
    CHECK(!fixture.selector.isExcludedByNow(warm, request));
    fixture.servers.recordResponse(warm, Milliseconds(2000), fixture.clock.now());
    CHECK(fixture.selector.isExcludedByNow(warm, request));
    const ServerRecord& cold = *fixture.fleet.find("s1");
    fixture.send("s1");
    CHECK(!fixture.selector.isExcludedByNow(cold, request));
    fixture.clock.advance(Milliseconds(1500));
    CHECK(fixture.selector.isExcludedByNow(cold, request));
}

// Guards against a change for services that state no limit.
TEST_CASE("servers of a service without a limit are used as before")
{
    Fixture fixture(0);
    fixture.setRemaining(1, std::nullopt);
    fixture.clock.advance(std::chrono::seconds(5));
    for (int i = 0; i < 20; ++i) {
        ServerSelection selection = fixture.select();
        REQUIRE(selection.server);
        fixture.send(selection.server->id);
    }
    CHECK(fixture.counters.sends == 0);
    CHECK(fixture.counters.exclusions == 0);
}

// Guards against responses whose statements are not passed on.
TEST_CASE("the head of each response of a server is passed on with its server")
{
    GatewayFixture fixture;
    fixture.addServer([](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, "ok") }; });
    fixture.setRoute({});
    std::string stated;
    fixture.context.onResponse = [&](const ServerRecord& server, const HttpResponse& head, TimePoint) { stated = server.id + ' ' + std::to_string(head.status); };
    CHECK(fixture.call(fixture.request("r1")).status == 200);
    CHECK(stated == "s1 200");
}

}
