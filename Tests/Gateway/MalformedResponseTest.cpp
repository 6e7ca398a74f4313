#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::array<RequestKind, 3> allKinds { RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Streaming };

Route routeOf(RequestKind kind, std::uint32_t maxAttempts)
{
    Route route;
    route.name = "r";
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(3000);
    route.maxAttempts = maxAttempts;
    route.isResumable = kind == RequestKind::Streaming;
    return route;
}

std::string idLineOf(const HttpRequest& request)
{
    return "Request-Id: " + findHeader(request.headers, "Request-Id").value_or("") + "\r\n";
}

std::string soundResponseTo(const HttpRequest& request)
{
    return GatewayFixture::responseTo(request, GatewayFixture::event(1));
}

// Heads of servers in trouble. "ID" stands for the line with the request id and the signature.
std::vector<std::string> malformedHeads()
{
    return {
        "HTTP/1.1 000 X\r\nIDContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000 X\r\nIDContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 000 X\r\nID\r\n",
        "HTTP/1.1 000 X\r\n\r\n",
        "HTTP/1.1 099 X\r\nIDContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 X\r\nIDUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "HTTP/1.1 20 X\r\nIDContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 X\r\nIDContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 X\r\nIDContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 999 X\r\nIDContent-Length: 5\r\n\r\nwrong",
    };
}

std::string insertId(std::string head, const HttpRequest& request)
{
    std::size_t position = head.find("ID");
    if (position != std::string::npos)
        head.replace(position, 2, idLineOf(request) + "Signature: sig\r\n");
    return head;
}

}

// Guards against a malformed head that reaches the caller, or that is skipped so that what follows it counts as the response.
TEST_CASE("a malformed head fails the request, whatever follows it on the connection")
{
    for (const std::string& head : malformedHeads()) {
        for (RequestKind kind : allKinds) {
            for (bool isFollowed : { false, true }) {
                CAPTURE(head);
                CAPTURE(isFollowed);
                GatewayFixture fixture;
                fixture.setRoute(routeOf(kind, 1));
                ScriptedServer& server = fixture.addServer([&](const HttpRequest& request) {
                    ScriptedResponse response { insertId(head, request), AfterResponse::Close };
                    if (isFollowed)
                        response.bytes.append(response.bytes).append(soundResponseTo(request));
                    return response;
                });
                CallerResult result = fixture.call(fixture.request("a"));
                CHECK(result.status == 502);
                CHECK(result.header("Signature").empty());
                CHECK(server.requests().size() == 1);
            }
        }
    }
}

// Guards against the same on a connection that has carried a sound response, and on the connections after it.
TEST_CASE("a malformed head on a reused connection fails only its own request")
{
    for (const std::string& head : malformedHeads()) {
        CAPTURE(head);
        GatewayFixture fixture;
        fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
        fixture.addServer([&](const HttpRequest& request) {
            bool isMalformed = findHeader(request.headers, "Request-Id") == "b";
            return ScriptedResponse { (isMalformed ? insertId(head, request) : "") + soundResponseTo(request) };
        });
        CHECK(fixture.call(fixture.request("a")).body == GatewayFixture::event(1));
        CallerResult result = fixture.call(fixture.request("b"));
        CHECK(fixture.pool.counters().reused == 1);
        CHECK(result.status == 502);
        CHECK(fixture.call(fixture.request("c")).body == GatewayFixture::event(1));
    }
}

// Guards against a malformed head that ends a request which another server would serve.
TEST_CASE("after a malformed head, a request that may be repeated is served by another server")
{
    for (const std::string& head : malformedHeads()) {
        for (RequestKind kind : { RequestKind::Idempotent, RequestKind::Streaming }) {
            CAPTURE(head);
            GatewayFixture fixture;
            fixture.setRoute(routeOf(kind, 2));
            int sent = 0;
            auto script = [&](const HttpRequest& request) {
                bool isFirst = sent++ == 0;
                return ScriptedResponse { isFirst ? insertId(head, request) : soundResponseTo(request), isFirst ? AfterResponse::Close : AfterResponse::KeepOpen };
            };
            fixture.addServer(script);
            fixture.addServer(script);
            CallerResult result = fixture.call(fixture.request("a"));
            CHECK(result.isComplete);
            CHECK(result.status == 200);
            CHECK(result.body == GatewayFixture::event(1));
            CHECK(sent == 2);
        }
    }
}

}
