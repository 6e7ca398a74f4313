#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <optional>

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

// Guards against a prompt part that goes on to crash servers because it stands behind many others, and against sound requests
// with these others that are refused in its place.
TEST_CASE("a crashing part is found wherever it stands in a prompt, and sound requests share its other parts")
{
    for (std::size_t partCount : { 3U, 64U, 65U, 68U, 1200U }) {
        for (std::size_t position : { std::size_t { 0 }, partCount / 2, partCount - 1 }) {
            CAPTURE(partCount);
            CAPTURE(position);
            CrashingServersFixture fixture(10);
            auto prompt = [partCount](std::size_t session, std::optional<std::size_t> crashingPosition) {
                std::string text;
                for (std::size_t i = 0; i < partCount; ++i)
                    text += (i == 0 ? "" : ",") + (i == crashingPosition ? crashingPart : std::to_string(10000 * session + i));
                return text;
            };
            // The caller of the first session has been served before, the other is new.
            REQUIRE(fixture.call(fixture.requestWithParts("known", prompt(1, std::nullopt))).status == 200);
            for (std::size_t i = 0; i < 8; ++i)
                fixture.call(fixture.requestWithParts("crashing " + std::to_string(i), prompt(1 + i % 2, position)));
            CHECK(fixture.crashes >= 1);
            CHECK(fixture.crashes <= 3);
            for (std::size_t session : { 1U, 2U })
                CHECK(fixture.call(fixture.requestWithParts("sound " + std::to_string(session), prompt(session, std::nullopt))).status == 200);
        }
    }
}

// Guards against a prompt that waits at a second server while it is already known that it has crashed the first one.
TEST_CASE("a request that waits at a server is withdrawn when its prompt part becomes suspect")
{
    CrashingServersFixture fixture(0);
    auto script = [&fixture](const HttpRequest& request) {
        bool isWaiting = findHeader(request.headers, "Request-Id") == "waiting";
        if (!isWaiting)
            ++fixture.crashes;
        return ScriptedResponse { "", isWaiting ? AfterResponse::KeepOpen : AfterResponse::Crash, false };
    };
    fixture.addServer(script, 1);
    fixture.addServer(script, 1);
    std::shared_ptr<CallerResult> waiting = fixture.start(fixture.requestWithParts("waiting", crashingPart));
    fixture.runUntil([&] { return fixture.servers[0]->requests().size() + fixture.servers[1]->requests().size() == 1; });
    ScriptedServer& first = *fixture.servers[fixture.servers[0]->requests().empty() ? 1 : 0];
    fixture.call(fixture.requestWithParts("crashing", crashingPart));
    CHECK(fixture.crashes == 1);
    CHECK(fixture.runUntil([&] { return waiting->isDone; }));
    CHECK(waiting->status == 502);
    CHECK(fixture.runUntil([&] { return first.resetCount() == 1; }));
}

// Guards against a crashing part that is taken for sound because a server has rejected a prompt with it.
TEST_CASE("only a successful response clears a prompt part")
{
    for (int status : { 200, 400 }) {
        GatewayFixture fixture;
        Route route = streamRoute();
        route.kind = RequestKind::Idempotent;
        fixture.setRoute(route);
        fixture.addServer([status](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, "body", status), AfterResponse::KeepOpen, false }; });
        std::vector<PromptPart> parts { 666 };
        fixture.quarantine.recordCrash(std::vector<CrashCandidate> { { parts, fixture.clock.now(), false } });
        HttpRequest request = fixture.request("a");
        request.headers.push_back({ fixture.names.promptParts, crashingPart });
        CHECK(fixture.call(request).status == status);
        CHECK(fixture.quarantine.isSuspect(parts) == (status == 400));
    }
}

// Guards against callers that retry early, or wait for long, while a prompt part is blocked.
TEST_CASE("a request with a blocked prompt part is refused at once with the time of the block")
{
    CrashingServersFixture fixture(2);
    std::vector<PromptPart> parts { 666 };
    for (int i = 0; i < 2; ++i)
        fixture.quarantine.recordCrash(std::vector<CrashCandidate> { { parts, fixture.clock.now(), false } });
    CallerResult result = fixture.call(fixture.requestWithParts("crashing", crashingPart));
    CHECK(result.status == 503);
    double retryAfter = std::stod(result.header("Retry-After"));
    CHECK(retryAfter > 29);
    CHECK(retryAfter <= 30);
    CHECK(result.body.find("2009") != std::string::npos);
    CHECK(fixture.crashes == 0);
}

}
