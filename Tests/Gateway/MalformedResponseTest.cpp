#include "Gateway/GatewayFixture.h"
#include "Transport/MalformedHeads.h"

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

// Returns the head with the header lines that make it the response to the request.
std::string headFor(const HttpRequest& request, const std::string& head)
{
    return insertHeaderLines(head, idLineOf(request) + "Signature: sig\r\n");
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
                    ScriptedResponse response { headFor(request, head), AfterResponse::Close };
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
            return ScriptedResponse { (isMalformed ? headFor(request, head) : "") + soundResponseTo(request) };
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
        "HTTP/1.1 200 \r\nLINESContent-Length: " + length + "\r\n\r\n" + event,
        "HTTP/1.0 200 OK\r\nLINES\r\n" + event,
        "HTTP/1.1 299 \xE9t\xE9\tx\r\nLINEScontent-length:" + length + "\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nLINESContent-Length: " + length + "\r\nContent-Length: " + length + "\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nLINESContent-Length: " + length + ", " + length + "\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nLINESTRANSFER-ENCODING: \tChunked \t\r\n\r\n" + chunked,
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: chunked\r\n\r\n" + GatewayFixture::chunk(event) + "0;a=b;c=\"d\"\r\nTrailer-Field: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nLINES!#$%&'*+-.^_`|~09azAZ: x\r\nEmpty:\r\nValue: \xFF\t\"x\" (:;,\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nLINESFolded: x\r\n y\r\n\r\n" + event,
        "HTTP/1.1 200 OK\r\nLINESLong: " + std::string(7000, 'x') + "\r\n\r\n" + event,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nLINESContent-Length: " + length + "\r\n\r\n" + event,
    };
    for (const std::string& response : responses) {
        for (RequestKind kind : allKinds) {
            CAPTURE(response);
            GatewayFixture fixture;
            fixture.setRoute(routeOf(kind, 1));
            fixture.addServer([&](const HttpRequest& request) { return ScriptedResponse { headFor(request, response), AfterResponse::Close }; });
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
    for (const std::string head : { "HTTP/1.1 204 X\r\nLINES\r\n", "HTTP/1.1 204 X\r\nLINESContent-Length: 0\r\n\r\n", "HTTP/1.1 304 X\r\nLINESContent-Length: 5\r\n\r\n" }) {
        CAPTURE(head);
        GatewayFixture fixture;
        fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
        fixture.addServer([&](const HttpRequest& request) { return ScriptedResponse { headFor(request, head) }; });
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
                return ScriptedResponse { isFirst ? headFor(request, head) : soundResponseTo(request), isFirst ? AfterResponse::Close : AfterResponse::KeepOpen };
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

// Guards against a malformed trailer after which the response looks complete. The events of a stream have been passed on by then.
TEST_CASE("a response with a malformed trailer is incomplete")
{
    std::vector<std::string> trailers = malformedHeaderLines();
    trailers.insert(trailers.end(), { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n" });
    for (const std::string& trailer : trailers) {
        for (RequestKind kind : allKinds) {
            CAPTURE(trailer);
            GatewayFixture fixture;
            fixture.setRoute(routeOf(kind, 1));
            fixture.addServer([&](const HttpRequest& request) {
                return ScriptedResponse { GatewayFixture::streamHead(request) + GatewayFixture::chunk(GatewayFixture::event(1)) + "0\r\n" + trailer + "\r\n", AfterResponse::Close };
            });
            CallerResult result = fixture.call(fixture.request("a"));
            if (kind == RequestKind::Streaming)
                CHECK_FALSE(result.isComplete);
            else
                CHECK(result.status == 502);
        }
    }
}

}
