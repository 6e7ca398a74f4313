#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

constexpr double statedLimit = 2;
// The requests that a server with a limit may get in any 4 s.
constexpr std::size_t maxRequests = static_cast<std::size_t>(1.5 * 4 * statedLimit) + 5;

ScriptedResponse respond(const HttpRequest& request, bool isLimited)
{
    std::string text = GatewayFixture::responseTo(request, "ok");
    if (isLimited)
        text.insert(text.find("\r\n") + 2, "Rate-Limit: " + std::to_string(statedLimit) + "\r\n");
    return { text, AfterResponse::KeepOpen, false };
}

Route plainRoute()
{
    Route route;
    route.name = "r";
    route.kind = RequestKind::Idempotent;
    route.timeout = std::chrono::milliseconds(3000);
    route.maxAttempts = 2;
    return route;
}

// Guards against a request that waits until its deadline although no server may be sent it in time.
TEST_CASE("a request is refused at once with the time of the next request if all servers have reached their rate limits")
{
    GatewayFixture fixture;
    fixture.setRoute(plainRoute());
    ScriptedServer& server = fixture.addServer([](const HttpRequest& request) {
        std::string text = GatewayFixture::responseTo(request, "ok");
        text.insert(text.find("\r\n") + 2, "Rate-Limit: 0.2\r\n");
        return ScriptedResponse { text, AfterResponse::KeepOpen, false };
    });
    CHECK(fixture.call(fixture.request("first")).status == 200);
    TimePoint start = fixture.clock.now();
    CallerResult result = fixture.call(fixture.request("second"));
    CHECK(result.status == 503);
    CHECK(fixture.clock.now() - start < std::chrono::seconds(1));
    CHECK(std::stod(result.header("Retry-After")) > 4);
    CHECK(std::stod(result.header("Retry-After")) <= 5);
    CHECK(result.header("Rate-Limit").empty());
    CHECK(server.requests().size() == 1);
}

// Guards against a server that is limited, or freed, by a header that is no number.
TEST_CASE("a rate limit that is no number changes nothing, and a response without one ends it")
{
    for (const char* header : { "Rate-Limit: many\r\n", "Rate-Limit: -1\r\n", "Rate-Limit: nan\r\n", "" }) {
        GatewayFixture fixture;
        fixture.setRoute(plainRoute());
        fixture.addServer([header](const HttpRequest& request) {
            std::string text = GatewayFixture::responseTo(request, "ok");
            text.insert(text.find("\r\n") + 2, header);
            return ScriptedResponse { text, AfterResponse::KeepOpen, false };
        });
        CHECK(fixture.call(fixture.request("before")).status == 200);
        CHECK(fixture.rateLimits.limitCount() == 0);
        fixture.rateLimits.recordResponse("s1", 1000.0, fixture.clock.now());
        fixture.runUntil([&] { return *fixture.rateLimits.timeUntilSend("s1") == Duration::zero(); });
        CHECK(fixture.call(fixture.request("after")).status == 200);
        CHECK(fixture.rateLimits.limitCount() == (*header ? 1 : 0));
    }
}

}

// Guards against a server in need that gets more requests than it has stated, while others are free.
TEST_CASE("a server that states a rate limit gets no more requests, and the others serve the rest")
{
    GatewayFixture fixture;
    fixture.setRoute(plainRoute());
    ScriptedServer& limited = fixture.addServer([](const HttpRequest& request) { return respond(request, true); });
    fixture.addServer([](const HttpRequest& request) { return respond(request, false); });
    TimePoint start = fixture.clock.now();
    int served = 0;
    for (int i = 0; i < 80; ++i)
        served += fixture.call(fixture.request(std::to_string(i))).status == 200 ? 1 : 0;
    REQUIRE(fixture.clock.now() - start < std::chrono::seconds(4));
    CHECK(served == 80);
    CHECK(limited.requests().size() <= maxRequests);
}

}
