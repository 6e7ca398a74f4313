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

}

// Guards against a server in need that gets more requests than it has stated, while others are free.
TEST_CASE("a server that states a rate limit gets no more requests, and the others serve the rest" * doctest::should_fail())
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
