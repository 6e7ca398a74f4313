#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

// More than the buffers of a connection hold, so that the gateway is still writing when the server responds.
constexpr std::size_t largeUpload = 6U << 20U;
// Fits into the send buffer, but not into the receive buffer of a server that does not read.
constexpr std::size_t smallUpload = 1U << 20U;
constexpr std::size_t maxUploadBytes = 8U << 20U;
constexpr int repetitions = 8;
// Lets the gateway fill the buffers of its connection, so that its write waits when the connection ends.
constexpr std::chrono::milliseconds bufferFillTime { 30 };
constexpr std::array<RequestKind, 3> allKinds { RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Streaming };

Route routeOf(RequestKind kind, std::uint32_t maxAttempts)
{
    Route route;
    route.name = "r";
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(10000);
    route.maxAttempts = maxAttempts;
    return route;
}

std::string wholeBodyOf(RequestKind kind)
{
    return kind == RequestKind::Streaming ? GatewayFixture::event(1) + GatewayFixture::event(2) : "the whole response";
}

std::string partOfBodyOf(RequestKind kind)
{
    return kind == RequestKind::Streaming ? GatewayFixture::event(1) : "the whole res";
}

std::string lengthOf(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

struct EarlyResponse {
    std::string framing;
    std::string body;
    AfterResponse after { AfterResponse::KeepOpen };
    std::chrono::milliseconds pause { 0 };
};

// A gateway whose servers respond to uploads before they have read them.
struct EarlyResponseFixture : GatewayFixture {
    explicit EarlyResponseFixture(RequestKind kind, std::uint32_t maxAttempts = 1)
    {
        HttpServerLimits limits;
        limits.maxBodyBytes = maxUploadBytes;
        callerServer.setLimits(limits);
        setRoute(routeOf(kind, maxAttempts));
    }

    ScriptedServer& addEarlyServer(const EarlyResponse& early)
    {
        auto script = [early](const HttpRequest& request) {
            std::string id = findHeader(request.headers, "Request-Id").value_or("");
            ScriptedResponse response;
            response.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: sig\r\n" + early.framing + "\r\n" + early.body;
            response.after = early.after;
            response.pause = early.pause;
            return response;
        };
        return addServer(script, 8, ReadBeforeResponse::HeadOnly);
    }

    CallerResult upload(int number, std::size_t bytes)
    {
        HttpRequest upload = request(std::to_string(number));
        upload.headers.pop_back();
        upload.body.assign(bytes, 'u');
        return call(upload);
    }

    // Returns how many of the callers of some uploads got a success that looks complete.
    int countCompleteSuccesses(std::size_t bytes)
    {
        int count = 0;
        for (int i = 0; i < repetitions; ++i) {
            CallerResult result = upload(i, bytes);
            count += result.isComplete && result.status == 200 ? 1 : 0;
        }
        return count;
    }
};

}

// Guards against a reset that is taken for the end of the response, since a pending write of the request receives the error and
// the next read returns the end of the connection, and against a failure that is noticed only at the timeout.
TEST_CASE("a response without a length is incomplete if its connection is reset while the request is written")
{
    for (RequestKind kind : allKinds) {
        for (std::chrono::milliseconds pause : { std::chrono::milliseconds(0), bufferFillTime }) {
            EarlyResponseFixture fixture(kind);
            ScriptedServer& server = fixture.addEarlyServer({ "", partOfBodyOf(kind), AfterResponse::Reset, pause });
            CHECK(fixture.countCompleteSuccesses(largeUpload) == 0);
            CHECK(fixture.counters.timedOut == 0);
            CHECK(server.requests().size() == repetitions);
        }
    }
}

// Guards against a reset that no read shows, since the server has ended its direction first: the reset may arrive when the
// gateway has already passed the whole request to its system.
TEST_CASE("a response without a length is incomplete if its connection is reset before the server has received the request")
{
    for (RequestKind kind : allKinds) {
        for (std::size_t bytes : { smallUpload, largeUpload }) {
            for (std::chrono::milliseconds pause : { std::chrono::milliseconds(0), bufferFillTime }) {
                CAPTURE(bytes);
                CAPTURE(pause.count());
                EarlyResponseFixture fixture(kind);
                ScriptedServer& server = fixture.addEarlyServer({ "", partOfBodyOf(kind), AfterResponse::ShutDownAndReset, pause });
                CHECK(fixture.countCompleteSuccesses(bytes) == 0);
                CHECK(fixture.counters.timedOut == 0);
                CHECK(server.requests().size() == repetitions);
            }
        }
    }
}

// Guards against a caller that is told that its request did not run, or gets the signature of a broken response.
TEST_CASE("the caller of a request that may not be repeated gets 502 for an incomplete early response")
{
    EarlyResponseFixture fixture(RequestKind::NonIdempotent, 3);
    ScriptedServer& server = fixture.addEarlyServer({ "", "the whole res", AfterResponse::Reset, bufferFillTime });
    CallerResult result = fixture.upload(1, largeUpload);
    CHECK(result.status == 502);
    CHECK(result.header("Signature").empty());
    CHECK(server.requests().size() == 1);
}

// Guards against parts of two responses that are joined.
TEST_CASE("after an incomplete early response, a request that may be repeated gets the whole response of another server")
{
    EarlyResponseFixture fixture(RequestKind::Idempotent, 2);
    int sent = 0;
    auto script = [&sent](const HttpRequest& request) {
        bool isFirst = sent++ == 0;
        std::string id = findHeader(request.headers, "Request-Id").value_or("");
        ScriptedResponse response;
        response.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: sig\r\n\r\n" + (isFirst ? "the whole res" : "the whole response");
        response.after = isFirst ? AfterResponse::Reset : AfterResponse::ReadAndClose;
        response.pause = bufferFillTime;
        return response;
    };
    for (int i = 0; i < 2; ++i)
        fixture.addServer(script, 8, ReadBeforeResponse::HeadOnly);
    CallerResult result = fixture.upload(1, largeUpload);
    CHECK(result.status == 200);
    CHECK(result.body == "the whole response");
    CHECK(sent == 2);
}

// Guards against a stream that looks complete although an attempt of it was reset, the first one or the one that resumes it.
TEST_CASE("a stream whose early response is reset is resumed, and is complete only if the resumed part is whole")
{
    for (bool isResumedPartWhole : { true, false }) {
        EarlyResponseFixture fixture(RequestKind::Streaming);
        Route route = routeOf(RequestKind::Streaming, 2);
        route.isResumable = true;
        fixture.setRoute(route);
        std::vector<std::string> lastIds;
        auto script = [&](const HttpRequest& request) {
            lastIds.push_back(findHeader(request.headers, "Last-Event-Id").value_or(""));
            int event = static_cast<int>(lastIds.size());
            ScriptedResponse response;
            response.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: sig\r\n\r\n" + GatewayFixture::event(event);
            response.after = event == 2 && isResumedPartWhole ? AfterResponse::ReadAndClose : AfterResponse::Reset;
            response.pause = bufferFillTime;
            return response;
        };
        for (int i = 0; i < 2; ++i)
            fixture.addServer(script, 8, ReadBeforeResponse::HeadOnly);
        CallerResult result = fixture.upload(1, largeUpload);
        CHECK(result.isComplete == isResumedPartWhole);
        CHECK(result.body == GatewayFixture::event(1) + GatewayFixture::event(2));
        CHECK(lastIds == std::vector<std::string> { "", "1" });
    }
}

// Guards against the opposite: a sound server that responds early, without a length, is not served.
TEST_CASE("a response without a length is complete if its server reads the whole request and closes the connection")
{
    for (RequestKind kind : allKinds) {
        for (AfterResponse after : { AfterResponse::ReadAndClose, AfterResponse::ShutDownAndRead }) {
            for (std::size_t bytes : { smallUpload, largeUpload }) {
                EarlyResponseFixture fixture(kind);
                ScriptedServer& server = fixture.addEarlyServer({ "", wholeBodyOf(kind), after, bufferFillTime });
                for (int i = 0; i < repetitions; ++i) {
                    CallerResult result = fixture.upload(i, bytes);
                    CHECK(result.status == 200);
                    CHECK(result.isComplete);
                    CHECK(result.body == wholeBodyOf(kind));
                }
                CHECK(server.requests().size() == repetitions);
                CHECK(fixture.runUntil([&] { return server.bodyBytesReadAfterResponse() == repetitions * bytes; }));
            }
        }
    }
}

// Guards against the same for responses with a length, which are complete whatever happens to the connection.
TEST_CASE("an early response with a length is complete after its last byte")
{
    for (RequestKind kind : allKinds) {
        for (AfterResponse after : { AfterResponse::KeepOpen, AfterResponse::ReadAndClose, AfterResponse::Reset }) {
            std::string body = wholeBodyOf(kind);
            EarlyResponseFixture fixture(kind);
            fixture.addEarlyServer({ lengthOf(body), body, after });
            for (int i = 0; i < repetitions; ++i) {
                CallerResult result = fixture.upload(i, largeUpload);
                CHECK(result.status == 200);
                CHECK(result.isComplete);
                CHECK(result.body == body);
            }
        }
    }
}

}
