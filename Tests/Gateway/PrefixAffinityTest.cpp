#include "PrefixAffinity/PrefixAffinity.h"
#include "Core/ManualClock.h"
#include "GatewayFixture.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::chrono::seconds retention { 60 };

EngineModel engine()
{
    EngineModel model;
    model.requestMillisecondsPerStep = 0.4;
    model.promptTokensPerSecond = 70000;
    model.tokenCapacity = 400000;
    model.usualPromptTokens = 900;
    model.usualAnswerTokens = 150;
    return model;
}

// A gateway with three servers and the rule.
struct Fixture : GatewayFixture {
    explicit Fixture(bool isSticky, Duration longestRetention = retention, int status = 200)
        : affinity(clock, fleet, loads, { { 1024, longestRetention } }, { [](std::string_view) { return engine(); }, [](const ServerRecord&) { return true; } })
    {
        serverSelector.addRule(affinity.makeRule());
        context.decodePromptSegments = [](std::string_view text) {
            return std::vector<PromptSegment> { { std::stoull(std::string(text)), 20000 }, { 1, 10 } };
        };
        Route route;
        route.hasStickySessions = isSticky;
        route.kind = RequestKind::Idempotent;
        route.maxAttempts = 2;
        setRoute(route);
        for (int i = 0; i < 3; ++i)
            addServer([this, i, status](const HttpRequest& request) {
                used.insert(i);
                return ScriptedResponse { responseTo(request, "done", status), AfterResponse::KeepOpen };
            });
    }

    int callWithPrompt(const std::string& id, const std::string& prompt)
    {
        HttpRequest request = GatewayFixture::request(id);
        request.headers.push_back({ names.promptParts, prompt });
        return call(request).status;
    }

    std::set<int> used;
    PrefixAffinity affinity;
};

}

// Guards against a prompt whose parts do not reach the rule, and against affinity on routes that have not asked for it.
TEST_CASE("requests with the same prompt go to one server on routes with sticky sessions only")
{
    for (bool isSticky : { true, false }) {
        CAPTURE(isSticky);
        Fixture fixture(isSticky);
        for (int i = 0; i < 12; ++i)
            CHECK(fixture.callWithPrompt("r" + std::to_string(i), "7") == 200);
        CHECK((fixture.used.size() == 1) == isSticky);
        CHECK(fixture.affinity.counters().sends == (isSticky ? 12 : 0));
        CHECK(fixture.affinity.index().entryCount() == (isSticky ? 2 : 0));
    }
}

// Guards against requests that count as running after their end, and against a failed one whose prompt counts as read.
TEST_CASE("the end of each attempt reaches the rule, whatever its outcome")
{
    Fixture nothingRetained(true, Duration::zero());
    CHECK(nothingRetained.callWithPrompt("a", "7") == 200);
    CHECK(nothingRetained.affinity.counters().sends == 1);
    CHECK(nothingRetained.affinity.index().entryCount() == 0);

    Fixture failing(true, retention, 500);
    CHECK(failing.callWithPrompt("a", "7") == 500);
    CHECK(failing.affinity.counters().sends > 0);
    CHECK(failing.affinity.index().entryCount() == 0);
}

// Guards against a holder that is missing in the sample of servers that are compared, and against one that is preferred
// although it is full, cold or not sound.
TEST_CASE("the holder is compared with the sample, unless it cannot take requests")
{
    ManualClock clock;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    InFlightTracker loads { clock, std::chrono::seconds(1) };
    OutlierDetector outliers { clock, {} };
    ServerRateLimits rateLimits { clock, "test", {}, nullptr };
    Random random { 5 };
    ServerSelector selector { clock, fleet, loads, outliers, rateLimits, random, { "a" } };
    bool isSound = true;
    PrefixAffinity affinity { clock, fleet, loads, { { 1024, retention }, 0 }, { [](std::string_view) { return engine(); }, [&isSound](const ServerRecord&) { return isSound; } } };
    selector.addRule(affinity.makeRule());
    selector.setEntryCount(50, 50);
    FleetSnapshot snapshot;
    for (int i = 0; i < 50; ++i) {
        ServerRecord server;
        server.id = "s" + std::to_string(i);
        server.service = "model";
        server.address = { "10.0.0.1", static_cast<std::uint16_t>(1 + i) };
        server.availabilityZone = "a";
        server.slots = 4;
        snapshot.servers.push_back(server);
    }
    auto applyFleet = [&] {
        ++snapshot.position.revision;
        fleet.apply(snapshot, clock.now());
    };
    applyFleet();
    std::vector<PromptSegment> prompt { { 7, 20000 }, { 1, 10 } };
    ServerSelectionRequest request { "model", {}, true, 0, false, prompt };
    const std::string holder = "s33";
    selector.recordSend(*fleet.find(holder), request);
    selector.recordFirstEvent(*fleet.find(holder), request);
    selector.recordEnd(*fleet.find(holder), request);
    auto countOfHolder = [&] {
        int count = 0;
        for (int i = 0; i < 40; ++i)
            count += selector.select(request).server->id == holder ? 1 : 0;
        return count;
    };
    CHECK(countOfHolder() == 40);
    isSound = false;
    CHECK(countOfHolder() < 10);
    isSound = true;
    snapshot.servers[33].remainingWarmUp = std::chrono::milliseconds(500);
    applyFleet();
    CHECK(countOfHolder() < 10);
    snapshot.servers[33].remainingWarmUp = std::chrono::milliseconds::zero();
    applyFleet();
    CHECK(countOfHolder() == 40);
    // Without its last slot it may still queue a request, but must not attract it.
    for (int i = 0; i < 4; ++i)
        loads.started(holder);
    CHECK(countOfHolder() < 10);
    for (int i = 0; i < 4; ++i)
        loads.finished(holder);
    snapshot.servers[33].startedAt = 2;
    snapshot.servers[33].address.port = 1000;
    applyFleet();
    CHECK(countOfHolder() < 10);
}

// Guards against a new prefix that each entry places at another server.
TEST_CASE("all entries prefer the same server for a prefix that they have not sent")
{
    ManualClock clock;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    InFlightTracker loads { clock, std::chrono::seconds(1) };
    FleetSnapshot snapshot;
    snapshot.position.revision = 1;
    for (std::string id : { "a", "b", "c", "d" }) {
        ServerRecord server;
        server.id = id;
        server.service = "model";
        server.address.address = id;
        server.slots = 4;
        snapshot.servers.push_back(server);
    }
    fleet.apply(snapshot, clock.now());
    auto preferred = [&](Duration longestRetention, const std::vector<PromptSegment>& prompt) {
        PrefixAffinity affinity { clock, fleet, loads, { { 1024, longestRetention } }, { [](std::string_view) { return engine(); }, [](const ServerRecord&) { return true; } } };
        SelectionRule rule = affinity.makeRule();
        std::string ids;
        for (const auto& [id, server] : fleet.servers())
            ids += rule.assess(server, { "model", {}, true, 0, false, prompt }).cost < 0 ? id : "";
        return ids;
    };
    std::vector<PromptSegment> prompt { { 7, 20000 }, { 1, 10 } };
    CHECK(preferred(retention, prompt).size() == 1);
    CHECK(preferred(retention, prompt) == preferred(retention, { { 7, 20000 }, { 2, 10 } }));
    // The only part of a prompt belongs to its request, and where nothing is retained no other entry's request leaves anything.
    CHECK(preferred(retention, { { 7, 20000 } }).empty());
    CHECK(preferred(Duration::zero(), prompt).empty());
}

}
