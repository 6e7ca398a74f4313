#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

ScriptedResponse refuse(const HttpRequest& request, const std::string& retryAfter)
{
    std::string text = GatewayFixture::responseTo(request, "full", 503);
    text.insert(text.find("\r\n") + 2, "Not-Executed: 1\r\nRetry-After: " + retryAfter + "\r\n");
    return { text, AfterResponse::KeepOpen, false };
}

Route plainRoute()
{
    Route route;
    route.name = "r";
    route.kind = RequestKind::Idempotent;
    route.timeout = std::chrono::milliseconds(3000);
    route.maxAttempts = 3;
    return route;
}

}

// Guards against requests to a server that has refused one and asked for a pause.
TEST_CASE("a server that asks for a pause gets no request during it, and callers are served by the others")
{
    GatewayFixture fixture;
    fixture.setRoute(plainRoute());
    std::vector<TimePoint> atPaused;
    fixture.addServer([&](const HttpRequest& request) {
        atPaused.push_back(fixture.clock.now());
        return refuse(request, "1.2");
    });
    fixture.addServer([](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, "ok"), AfterResponse::KeepOpen, false }; });
    TimePoint start = fixture.clock.now();
    for (int i = 0; fixture.clock.now() - start < std::chrono::seconds(3); ++i)
        CHECK(fixture.call(fixture.request("r" + std::to_string(i))).status == 200);
    REQUIRE(!atPaused.empty());
    CHECK(fixture.counters.serverPauses == atPaused.size());
    for (std::size_t i = 1; i < atPaused.size(); ++i)
        CHECK(atPaused[i] - atPaused[i - 1] >= std::chrono::milliseconds(1200));
}

// Guards against callers that wait until their deadline, or return before the pause has ended, or all in the same moment.
TEST_CASE("requests are refused at once with different times after the end of the pause if all servers have asked for one")
{
    GatewayFixture fixture;
    fixture.setRoute(plainRoute());
    ScriptedServer& server = fixture.addServer([](const HttpRequest& request) { return refuse(request, "20"); });
    double latest = 0;
    TimePoint start = fixture.clock.now();
    for (int i = 0; i < 8; ++i) {
        CallerResult result = fixture.call(fixture.request("r" + std::to_string(i)));
        CHECK(result.status == 503);
        double seconds = std::stod(result.header("Retry-After"));
        double left = 20 - std::chrono::duration<double>(fixture.clock.now() - start).count();
        CHECK(seconds >= left - 0.1);
        CHECK(seconds <= 25);
        latest = std::max(latest, seconds);
    }
    CHECK(fixture.clock.now() - start < std::chrono::seconds(2));
    CHECK(latest > 21);
    CHECK(server.requests().size() == 1);
}

// Guards against a server that is excluded by a value that is no number of seconds.
TEST_CASE("a pause that is no number is ignored, and a very long one is bounded")
{
    for (const char* value : { "soon", "-5", "nan", "Fri, 04 Dec 2026 00:00:00 GMT" }) {
        GatewayFixture fixture;
        fixture.setRoute(plainRoute());
        int requests = 0;
        fixture.addServer([&](const HttpRequest& request) { return ++requests == 1 ? refuse(request, value) : ScriptedResponse { GatewayFixture::responseTo(request, "ok"), AfterResponse::KeepOpen, false }; });
        CHECK(fixture.call(fixture.request("r")).status == 200);
        CHECK(fixture.counters.serverPauses == 0);
    }
    GatewayFixture fixture;
    fixture.setRoute(plainRoute());
    fixture.addServer([](const HttpRequest& request) { return refuse(request, "1e18"); });
    CHECK(std::stod(fixture.call(fixture.request("r")).header("Retry-After")) <= 75);
}

}
