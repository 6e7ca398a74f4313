#include "Gateway/GatewayFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

// What a gateway may read of a response that never ends, with what is on its way when it stops reading.
constexpr std::size_t maxReadBytes = 32U << 20U;

Route routeOf(RequestKind kind)
{
    Route route;
    route.name = "r";
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(10000);
    route.maxAttempts = 2;
    route.isResumable = kind == RequestKind::Streaming;
    return route;
}

struct EndlessResponse {
    std::string name;
    RequestKind kind;
    std::string bytes;
    std::string endless;
    // The request id is inserted into the head.
    bool hasId { false };
    int expectedStatus { 502 };
};

std::vector<EndlessResponse> endlessResponses()
{
    RequestKind plain = RequestKind::NonIdempotent;
    RequestKind stream = RequestKind::Streaming;
    std::string signedHead = "HTTP/1.1 200 OK\r\nSignature: sig\r\n";
    return {
        { "bytes that are no response", plain, "", "x" },
        { "a line of a head", plain, "HTTP/1.1 200 OK\r\nX: ", "x" },
        { "lines of a head", plain, "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
        { "informational responses", plain, "", "HTTP/1.1 102 Processing\r\n\r\n" },
        { "a response to another request", plain, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: sig\r\n\r\n", "x" },
        { "responses to another request", plain, "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: sig\r\nContent-Length: 2\r\n\r\nno" },
        { "a body without framing", plain, signedHead, "x", true },
        { "a chunked body", plain, signedHead + "Transfer-Encoding: chunked\r\n", "3e8\r\n" + std::string(1000, 'x') + "\r\n", true },
        { "the body of a refusal", plain, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n", "x", true, 503 },
        { "an event", stream, signedHead, "x", true },
        { "a line of a chunk", stream, signedHead + "Transfer-Encoding: chunked\r\n", "1", true },
    };
}

}

// Guards against a server in trouble whose bytes fill the memory, or keep a request waiting until its timeout.
TEST_CASE("a response that never ends is given up after a bounded number of bytes")
{
    for (const EndlessResponse& response : endlessResponses()) {
        CAPTURE(response.name);
        GatewayFixture fixture;
        fixture.setRoute(routeOf(response.kind));
        ScriptedServer& server = fixture.addServer([&response](const HttpRequest& request) {
            ScriptedResponse scripted;
            scripted.bytes = response.bytes;
            if (response.hasId)
                scripted.bytes += "Request-Id: " + findHeader(request.headers, "Request-Id").value_or("") + "\r\n\r\n";
            scripted.endless = response.endless;
            return scripted;
        });
        HttpRequest request = fixture.request("a");
        request.headers.pop_back();
        TimePoint start = fixture.clock.now();
        CallerResult result = fixture.call(request);
        CHECK(result.status == response.expectedStatus);
        CHECK(fixture.clock.now() - start < std::chrono::seconds(8));
        CHECK(server.endlessBytes() / server.requests().size() < maxReadBytes);
        CHECK(fixture.responseBuffers.used() == 0);
    }
}

// Guards against many responses at once that together fill the memory, each below its own limit.
TEST_CASE("all buffered responses together are bounded")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::NonIdempotent));
    fixture.addServer([](const HttpRequest& request) {
        ScriptedResponse scripted;
        scripted.bytes = "HTTP/1.1 200 OK\r\nSignature: sig\r\nRequest-Id: " + findHeader(request.headers, "Request-Id").value_or("") + "\r\n\r\n";
        scripted.endless = "x";
        return scripted;
    },
        64);
    constexpr int requestCount = 20;
    std::vector<std::shared_ptr<CallerResult>> results;
    results.reserve(requestCount);
    for (int i = 0; i < requestCount; ++i)
        results.push_back(fixture.start(fixture.request(std::to_string(i))));
    std::size_t mostUsed = 0;
    CHECK(fixture.runUntil([&] {
        mostUsed = std::max(mostUsed, fixture.responseBuffers.used());
        return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->isDone; });
    }));
    CHECK(mostUsed > 0);
    CHECK(mostUsed <= fixture.responseBuffers.limit());
    CHECK(fixture.responseBuffers.used() == 0);
}

// Guards against a stream that fills the memory because its caller does not read.
TEST_CASE("a stream without end is broken off if its caller does not read")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::Streaming));
    ScriptedServer& server = fixture.addServer([](const HttpRequest& request) {
        ScriptedResponse scripted;
        scripted.bytes = "HTTP/1.1 200 OK\r\nSignature: sig\r\nRequest-Id: " + findHeader(request.headers, "Request-Id").value_or("") + "\r\n\r\n";
        scripted.endless = "data: " + std::string(1000, 'x') + "\n\n";
        return scripted;
    });
    boost::asio::io_context callerContext;
    boost::asio::ip::tcp::socket caller(callerContext);
    caller.connect({ boost::asio::ip::make_address(fixture.endpoint.address), fixture.endpoint.port });
    boost::asio::write(caller, boost::asio::buffer(std::string("GET /r/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: a\r\n\r\n")));
    CHECK(fixture.runUntil([&] { return server.closedCount() > 0; }));
    CHECK(server.endlessBytes() < maxReadBytes);
}

}
