#include "Forwarding/PooledClient.h"

#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against use of a destroyed pool: a controller that loses its lease destroys its clients while calls are in
// flight.
TEST_CASE("a pooled client may be destroyed while calls are in flight and connections are idle")
{
    GatewayFixture fixture;
    // Two equal responses on one connection would be taken for copies, so each states another number.
    int number = 0;
    ScriptedServer& fast = fixture.addServer([&number](const HttpRequest&) {
        return ScriptedResponse { "HTTP/1.1 200 OK\r\nNumber: " + std::to_string(++number) + "\r\nContent-Length: 2\r\n\r\nok", AfterResponse::KeepOpen, false };
    });
    ScriptedServer& closing = fixture.addServer([](const HttpRequest&) { return ScriptedResponse { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", AfterResponse::KeepOpen, true }; });
    int answered = 0;
    int failed = 0;
    auto client = std::make_unique<PooledClient>(fixture.loop, fixture.clock);
    constexpr std::chrono::milliseconds timeout { 500 };
    auto onResponse = [&answered](const HttpResponse& response) { answered += response.body == "ok" ? 1 : 0; };
    auto onFailure = [&failed](const HttpFailure&) { ++failed; };
    client->send(fast.endpoint(), HttpRequest(), timeout, onResponse, onFailure);
    REQUIRE(fixture.runUntil([&] { return answered == 1; }));
    client->send(closing.endpoint(), HttpRequest(), timeout, onResponse, onFailure);
    client->send(fast.endpoint(), HttpRequest(), timeout, onResponse, onFailure);
    client = nullptr;
    CHECK(fixture.runUntil([&] { return answered + failed == 3; }));
    CHECK(fast.connectionCount() == 1);
}

// Guards against an engine whose report fills the memory of its rank agent.
TEST_CASE("a pooled client gives up a response that never ends")
{
    GatewayFixture fixture;
    ScriptedServer& server = fixture.addServer([](const HttpRequest&) {
        ScriptedResponse response;
        response.bytes = "HTTP/1.1 200 OK\r\n\r\n";
        response.endless = "x";
        return response;
    });
    PooledClient client(fixture.loop, fixture.clock);
    int failed = 0;
    constexpr std::chrono::seconds timeout { 15 };
    client.send(
        server.endpoint(), HttpRequest(), timeout, [](const HttpResponse&) {}, [&failed](const HttpFailure&) { ++failed; });
    TimePoint start = fixture.clock.now();
    REQUIRE(fixture.runUntil([&] { return failed == 1; }));
    CHECK(fixture.clock.now() - start < timeout);
    constexpr std::size_t maxReadBytes = 20U << 20U;
    CHECK(server.endlessBytes() < maxReadBytes);
}

}
