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
        // The body has another coding than the caller expects, or another end than the server meant.
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: gzip\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked, gzip\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked, chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: xchunked\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding:\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDContent-Length: 5\r\nTransfer-Encoding: identity\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDContent-Length: 5\r\nContent-Length: 4\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDContent-Length: -5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nIDContent-Length: 5 5\r\n\r\nwrong",
        "HTTP/1.1 204 X\r\nIDContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 204 X\r\nIDTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 102 X\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 102 X\r\nTransfer-Encoding: chunked\r\n\r\n",
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

// Guards against the opposite: a head that is legal, but rare, fails the request.
TEST_CASE("a response with an odd but legal head is passed on whole")
{
    std::string event = GatewayFixture::event(1);
    std::string length = std::to_string(event.size());
    std::string chunked = GatewayFixture::chunk(event) + "0\r\n\r\n";
    std::vector<std::string> responses {
        "HTTP/1.1 200 \r\nIDContent-Length: " + length + "\r\n\r\n" + event,
        "HTTP/1.0 200 OK\r\nID\r\n" + event,
        "HTTP/1.1 299 \xE9t\xE9\tx\r\nIDcontent-length:" + length + "\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nIDContent-Length: " + length + "\r\nContent-Length: " + length + "\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nIDContent-Length: " + length + ", " + length + "\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nIDTRANSFER-ENCODING: \tChunked \t\r\n\r\n" + chunked,
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n" + GatewayFixture::chunk(event) + "0;a=b;c=\"d\"\r\nTrailer-Field: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nID!#$%&'*+-.^_`|~09azAZ: x\r\nEmpty:\r\nValue: \xFF\t\"x\" (:;,\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nIDFolded: x\r\n y\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nIDLong: " + std::string(7000, 'x') + "\r\n\r\n" + event,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nIDContent-Length: " + length + "\r\n\r\n" + event,
    };
    for (const std::string& response : responses) {
        for (RequestKind kind : allKinds) {
            CAPTURE(response);
            GatewayFixture fixture;
            fixture.setRoute(routeOf(kind, 1));
            fixture.addServer([&](const HttpRequest& request) { return ScriptedResponse { insertId(response, request), AfterResponse::Close }; });
            CallerResult result = fixture.call(fixture.request("a"));
            CHECK(result.isComplete);
            CHECK(result.status / 100 == 2);
            CHECK(result.body == event);
            CHECK(result.header("Signature") == "sig");
        }
    }
}

// Guards against the same for responses without a body, which may state the length that one would have.
TEST_CASE("a legal response without a body is passed on")
{
    for (const std::string head : { "HTTP/1.1 204 X\r\nID\r\n", "HTTP/1.1 204 X\r\nIDContent-Length: 0\r\n\r\n", "HTTP/1.1 304 X\r\nIDContent-Length: 5\r\n\r\n" }) {
        CAPTURE(head);
        GatewayFixture fixture;
        fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
        fixture.addServer([&](const HttpRequest& request) { return ScriptedResponse { insertId(head, request) }; });
        CallerResult result = fixture.call(fixture.request("a"));
        CHECK(result.isComplete);
        CHECK(head.find(std::to_string(result.status)) != std::string::npos);
        CHECK(result.body.empty());
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
