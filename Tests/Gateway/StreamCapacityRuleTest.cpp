#include "Gateway/SelectionRules.h"

#include "Core/ManualClock.h"
#include "Forwarding/ServerSelector.h"
#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

Route streamRoute(std::int32_t priority)
{
    Route route;
    route.name = "stream" + std::to_string(priority);
    route.host = "host.example";
    route.prefix = "/" + route.name + "/";
    route.kind = RequestKind::Streaming;
    route.priority = priority;
    route.targetGap = std::chrono::milliseconds(60);
    route.services = { { "app", 1 } };
    return route;
}

}

// Guards against a bound that is computed but not applied by the selection, or applied to other services.
TEST_CASE("a server gets no more requests than its streams allow")
{
    ManualClock clock;
    FleetView fleet(clock, {}, [](const ServerRecord&) {});
    FleetSnapshot snapshot;
    snapshot.position.revision = 1;
    for (const char* service : { "app", "other" }) {
        ServerRecord server;
        server.id = std::string("server-") + service;
        server.service = service;
        server.slots = 10;
        snapshot.servers.push_back(server);
    }
    fleet.apply(snapshot, clock.now());
    InFlightTracker loads(clock, std::chrono::seconds(1));
    OutlierDetector outliers(clock, {});
    ServerRateLimits rateLimits(clock, "test", {}, nullptr);
    Random random(3);
    ServerSelector selector(clock, fleet, loads, outliers, rateLimits, random, {});
    StreamCapacity capacity(clock, fleet, loads, {}, [](const std::string&, bool) {});
    selector.addRule(makeStreamCapacityRule(capacity));
    ServiceSpecification specification;
    specification.name = "app";
    specification.engine = EngineModel();
    specification.engine->slots = 10;
    specification.engine->stepMilliseconds = 30;
    specification.engine->requestMillisecondsPerStep = 5;
    capacity.applyCatalog(Catalog(1, { streamRoute(0), streamRoute(1) }, { specification }, {}, {}));
    auto sentTo = [&](const std::string& service) {
        int sent = 0;
        while (sent < 20 && selector.select(service, {}, true).kind == SelectionKind::Server) {
            loads.started("server-" + service);
            ++sent;
        }
        return sent;
    };
    int bounded = sentTo("app");
    CHECK(bounded >= 3);
    CHECK(bounded <= 6);
    CHECK(sentTo("other") == 11);
}

// Guards against pauses that are not measured, and against one that is measured before the first event.
TEST_CASE("the pauses between the events of a stream are reported")
{
    GatewayFixture fixture;
    fixture.setRoute(streamRoute(0));
    std::vector<Duration> pauses;
    fixture.context.onEventPause = [&pauses](const ServerRecord& server, Duration pause) {
        CHECK(server.id == "s1");
        pauses.push_back(pause);
    };
    fixture.addServer([](const HttpRequest& request) {
        std::string events = GatewayFixture::chunk(GatewayFixture::event(1)) + GatewayFixture::chunk(GatewayFixture::event(2)) + GatewayFixture::chunk(GatewayFixture::event(3));
        return ScriptedResponse { GatewayFixture::streamHead(request) + events + "0\r\n\r\n", AfterResponse::KeepOpen, false };
    });
    CHECK(fixture.call(fixture.request("a")).isComplete);
    CHECK(pauses.size() == 2);
}

// Guards against a stream that ignores how long it may wait, or whose caller is not told when room is expected.
TEST_CASE("a stream for which no server has room waits as stated and is refused with the stated time")
{
    // The selector treats every service as recently recovered for this time after its start.
    ServerSelectorSettings settings;
    settings.retrySurgeTime = std::chrono::milliseconds(0);
    GatewayFixture fixture(settings);
    fixture.setRoute(streamRoute(0));
    fixture.addServer([](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, ""), AfterResponse::KeepOpen, false }; }, 1);
    for (int i = 0; i < 2; ++i)
        fixture.loads.started("s1");
    Duration longest { 0 };
    fixture.context.streamWait = [&longest](const ServerSelectionRequest&, const StreamWaitLimits& limits, std::uint64_t) {
        longest = limits.waited;
        return std::optional(StreamWait { limits.waited < std::chrono::milliseconds(500), std::chrono::milliseconds(1300) });
    };
    CallerResult result = fixture.call(fixture.request("a"));
    CHECK(result.status == 503);
    CHECK(result.header("Retry-After") == "1.300");
    CHECK(longest >= std::chrono::milliseconds(500));
}

}
