#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr const char* crashingPart = "666";

bool hasCrashingPart(const HttpRequest& request)
{
    return hasListToken(findHeader(request.headers, "Prompt-Parts").value_or(""), crashingPart);
}

Route streamRoute()
{
    Route route;
    route.name = "r";
    route.kind = RequestKind::Streaming;
    route.isResumable = true;
    route.timeout = std::chrono::milliseconds(3000);
    route.maxAttempts = 2;
    return route;
}

// Servers that crash when they begin the response to a prompt with the crashing part.
class CrashingServersFixture : public GatewayFixture {
public:
    explicit CrashingServersFixture(int serverCount)
    {
        setRoute(streamRoute());
        for (int i = 0; i < serverCount; ++i) {
            addServer([this](const HttpRequest& request) {
                if (!hasCrashingPart(request))
                    return ScriptedResponse { streamHead(request) + chunk(event(1)) + "0\r\n\r\n", AfterResponse::KeepOpen, false };
                ++crashes;
                return ScriptedResponse { streamHead(request), AfterResponse::Crash, false };
            });
        }
    }

    HttpRequest requestWithParts(const std::string& id, const std::string& parts) const
    {
        HttpRequest result = request(id);
        result.headers.push_back({ names.promptParts, parts });
        return result;
    }

    int crashes { 0 };
};

}

// Guards against a prompt part that crashes one server after the other.
TEST_CASE("requests with a prompt part that crashes servers reach at most three servers")
{
    CrashingServersFixture fixture(10);
    REQUIRE(fixture.call(fixture.requestWithParts("sound", "1")).status == 200);
    for (int i = 0; i < 8; ++i)
        fixture.call(fixture.requestWithParts("crashing " + std::to_string(i), std::string("1,") + crashingPart));
    CHECK(fixture.crashes <= 3);
    CHECK(fixture.call(fixture.requestWithParts("sound again", "1")).status == 200);
}

}
