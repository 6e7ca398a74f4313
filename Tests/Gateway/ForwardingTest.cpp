#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace Damaskgrade {

namespace {

Route routeOf(RequestKind kind, std::uint32_t maxAttempts = 2)
{
    Route route;
    route.name = "r";
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(3000);
    route.maxAttempts = maxAttempts;
    route.isResumable = kind == RequestKind::Streaming;
    return route;
}

}

// Guards against responses that are delivered to another request when connections are reused under load.
TEST_CASE("every caller gets the complete response to its request over reused connections")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
    for (int i = 0; i < 2; ++i) {
        fixture.addServer([](const HttpRequest& request) {
            return ScriptedResponse { GatewayFixture::responseTo(request, "echo " + request.body + std::string(3000, 'x')), AfterResponse::KeepOpen, false };
        });
    }
    int wrong = 0;
    for (int round = 0; round < 40; ++round) {
        std::vector<std::shared_ptr<CallerResult>> results;
        results.reserve(5);
        for (int i = 0; i < 5; ++i)
            results.push_back(fixture.start(fixture.request(std::to_string(round * 5 + i))));
        fixture.runUntil([&] { return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->isDone; }); });
        for (std::size_t i = 0; i < results.size(); ++i) {
            std::string expected = "echo body of " + std::to_string(round * 5 + static_cast<int>(i)) + std::string(3000, 'x');
            wrong += results[i]->status != 200 || results[i]->body != expected ? 1 : 0;
        }
    }
    CHECK(wrong == 0);
    CHECK(fixture.pool.counters().reused > 100);
}

// Guards against a truncated response that is treated as complete.
TEST_CASE("after a truncated response a request is retried at another server if that is allowed, and fails otherwise")
{
    for (RequestKind kind : { RequestKind::Idempotent, RequestKind::NonIdempotent }) {
        GatewayFixture fixture;
        fixture.setRoute(routeOf(kind));
        int sent = 0;
        auto script = [&sent](const HttpRequest& request) {
            bool isFirst = sent++ == 0;
            std::string completeResponse = GatewayFixture::responseTo(request, "complete response");
            return ScriptedResponse { isFirst ? completeResponse.substr(0, completeResponse.size() - 4) : completeResponse, isFirst ? AfterResponse::Close : AfterResponse::KeepOpen, false };
        };
        fixture.addServer(script);
        fixture.addServer(script);
        CallerResult result = fixture.call(fixture.request("a"));
        if (kind == RequestKind::Idempotent) {
            CHECK(result.status == 200);
            CHECK(result.body == "complete response");
            CHECK(sent == 2);
        } else {
            CHECK(result.status == 502);
            CHECK(result.header("Signature").empty());
            CHECK(sent == 1);
        }
    }
}

// Guards against a late response to an earlier request that is delivered instead of the right one.
TEST_CASE("a response with another request id is skipped, and its connection is not reused")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
    ScriptedServer& server = fixture.addServer([](const HttpRequest& request) {
        HttpRequest other = request;
        for (HttpHeader& header : other.headers) {
            if (header.name == "Request-Id")
                header.value = "of another";
        }
        return ScriptedResponse { GatewayFixture::responseTo(other, "wrong") + GatewayFixture::responseTo(request, "right"), AfterResponse::KeepOpen, false };
    });
    CHECK(fixture.call(fixture.request("a")).body == "right");
    CHECK(fixture.call(fixture.request("b")).body == "right");
    CHECK(server.connectionCount() == 2);
}

// Guards against bytes after a response that are treated as the start of the next one.
TEST_CASE("a connection with bytes after a response is not reused")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
    ScriptedServer& server = fixture.addServer([](const HttpRequest& request) {
        return ScriptedResponse { GatewayFixture::responseTo(request, "right") + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", AfterResponse::KeepOpen, false };
    });
    for (const char* id : { "a", "b", "c" })
        CHECK(fixture.call(fixture.request(id)).body == "right");
    CHECK(server.connectionCount() == 3);
}

// Guards against a successful response that no server has signed.
TEST_CASE("a successful response without a signature or with a content encoding is not forwarded")
{
    for (const char* header : { "", "Signature: sig\r\nContent-Encoding: gzip\r\n" }) {
        GatewayFixture fixture;
        fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
        fixture.addServer([header](const HttpRequest& request) {
            std::string id = findHeader(request.headers, "Request-Id").value_or("");
            return ScriptedResponse { "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + header + "Content-Length: 2\r\n\r\nno", AfterResponse::KeepOpen, false };
        });
        CHECK(fixture.call(fixture.request("a")).status == 502);
    }
}

// Guards against reporting a request as not executed although it may have been executed.
TEST_CASE("a 503 response is forwarded as a refusal if it is marked as not executed, and as a failure otherwise")
{
    for (bool isMarked : { true, false }) {
        GatewayFixture fixture;
        fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
        int sent = 0;
        for (int i = 0; i < 2; ++i) {
            fixture.addServer([&sent, isMarked](const HttpRequest& request) {
                ++sent;
                std::string id = findHeader(request.headers, "Request-Id").value_or("");
                return ScriptedResponse { "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\n" + (isMarked ? "Not-Executed: 1\r\n" : "") + "Content-Length: 0\r\n\r\n", AfterResponse::KeepOpen, false };
            });
        }
        CallerResult result = fixture.call(fixture.request("a"));
        CHECK(result.status == (isMarked ? 503 : 502));
        CHECK(result.header("Retry-After").empty() != isMarked);
        CHECK((sent == 1) != isMarked);
    }
}

// Guards against an error response of a server that is replaced or loses its signature.
TEST_CASE("an error response of a server is forwarded unchanged")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
    fixture.addServer([](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, "broken", 500), AfterResponse::KeepOpen, false }; });
    CallerResult result = fixture.call(fixture.request("a"));
    CHECK(result.status == 500);
    CHECK(result.body == "broken");
    CHECK(result.header("Signature") == "sig");
}

// Guards against lost, duplicate or mixed events when a server ends a stream early.
TEST_CASE("a stream that is interrupted within an event is resumed at another server in the same response")
{
    for (AfterResponse end : { AfterResponse::Reset, AfterResponse::Close }) {
        GatewayFixture fixture;
        fixture.setRoute(routeOf(RequestKind::Streaming));
        std::vector<std::string> lastIds;
        auto script = [&lastIds, end](const HttpRequest& request) {
            std::string last = findHeader(request.headers, "Last-Event-Id").value_or("");
            lastIds.push_back(last);
            std::string bytes = GatewayFixture::streamHead(request);
            int first = last.empty() ? 1 : std::stoi(last) + 1;
            bool isFirst = last.empty();
            for (int id = first; id <= (isFirst ? 3 : 6); ++id)
                bytes += GatewayFixture::chunk(GatewayFixture::event(id));
            if (isFirst)
                return ScriptedResponse { bytes + GatewayFixture::chunk("id: 4\ndata: pie"), end, true };
            return ScriptedResponse { bytes + "0\r\n\r\n", AfterResponse::KeepOpen, false };
        };
        fixture.addServer(script);
        fixture.addServer(script);
        CallerResult result = fixture.call(fixture.request("a"));
        std::string expected;
        for (int id = 1; id <= 6; ++id)
            expected += GatewayFixture::event(id);
        CHECK(result.isComplete);
        CHECK(result.body == expected);
        CHECK(lastIds == std::vector<std::string> { "", "3" });
    }
}

// Guards against an interrupted stream that appears complete.
TEST_CASE("a stream that cannot be resumed ends without its last chunk")
{
    GatewayFixture fixture;
    Route route = routeOf(RequestKind::Streaming);
    route.isResumable = false;
    fixture.setRoute(route);
    int sent = 0;
    for (int i = 0; i < 2; ++i) {
        fixture.addServer([&sent](const HttpRequest& request) {
            ++sent;
            return ScriptedResponse { GatewayFixture::streamHead(request) + GatewayFixture::chunk(GatewayFixture::event(1)), AfterResponse::Close, false };
        });
    }
    CallerResult result = fixture.call(fixture.request("a"));
    CHECK(!result.isComplete);
    CHECK(result.body == GatewayFixture::event(1));
    CHECK(sent == 1);
}

// Guards against a response without a length that is truncated by a reset and treated as complete.
TEST_CASE("a stream without framing is complete if its connection is closed without a reset after a complete event")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::Streaming, 1));
    AfterResponse end = AfterResponse::Close;
    std::string rest;
    fixture.addServer([&end, &rest](const HttpRequest& request) {
        std::string id = findHeader(request.headers, "Request-Id").value_or("");
        std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: sig\r\nContent-Type: text/event-stream\r\n\r\n";
        return ScriptedResponse { head + GatewayFixture::event(1) + rest, end, true };
    });
    CHECK(fixture.call(fixture.request("a")).isComplete);
    rest = "id: 2\ndata: pie";
    CHECK(!fixture.call(fixture.request("b")).isComplete);
    rest.clear();
    end = AfterResponse::Reset;
    CHECK(!fixture.call(fixture.request("c")).isComplete);
}

// Guards against engines that continue to work for a caller that has disconnected.
TEST_CASE("when the caller disconnects, the connection to the server is closed, except for a non-idempotent request")
{
    for (RequestKind kind : { RequestKind::Streaming, RequestKind::Idempotent, RequestKind::NonIdempotent }) {
        GatewayFixture fixture;
        fixture.setRoute(routeOf(kind));
        ScriptedServer& server = fixture.addServer([](const HttpRequest&) { return ScriptedResponse { "", AfterResponse::KeepOpen, false }; });
        fixture.start(fixture.request("a"));
        REQUIRE(fixture.runUntil([&] { return server.requests().size() == 1; }));
        fixture.calls.clear();
        bool isKept = kind == RequestKind::NonIdempotent;
        if (isKept)
            CHECK(fixture.runUntil([&] { return fixture.counters.cancelled == 1; }));
        else
            CHECK(fixture.runUntil([&] { return server.closedCount() == 1 && fixture.forwarder.activeCount() == 0; }));
        CHECK(server.closedCount() == (isKept ? 0 : 1));
    }
}

// Guards against a request that reaches a server after its caller has disconnected. If the connection is closed normally,
// a paused server still reads the buffered request when it continues. A reset discards the buffered request.
TEST_CASE("when the caller of a running request disconnects, the connection to the server is reset")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::Idempotent));
    ScriptedServer& server = fixture.addServer([](const HttpRequest&) { return ScriptedResponse(); });
    fixture.start(fixture.request("a"));
    REQUIRE(fixture.runUntil([&] { return server.requests().size() == 1; }));
    fixture.calls.clear();
    REQUIRE(fixture.runUntil([&] { return server.closedCount() == 1; }));
    CHECK(server.resetCount() == 1);
}

// Guards against useless waits: a stream that can no longer be on time is refused immediately, except after an outage,
// when many callers return at the same time. The returning request has 5 s less than the timeout of the route, so it can
// no longer meet the target latency of 4 s. Without an outage it is refused after maxLateWait, and the new request after
// maxStreamWait. After an outage both wait for maxStreamWait, so the new request, which arrived first, ends first.
TEST_CASE("while no server is free, a stream waits only as long as it can be on time")
{
    for (bool isAfterOutage : { false, true }) {
        ServerSelectorSettings settings;
        settings.retrySurgeTime = std::chrono::milliseconds(isAfterOutage ? 60000 : 0);
        GatewayFixture fixture(settings);
        // Long enough that the two requests do not end at the same time on a busy machine.
        fixture.context.settings.maxStreamWait = std::chrono::milliseconds(1500);
        Route route = routeOf(RequestKind::Streaming);
        route.timeout = std::chrono::milliseconds(20000);
        route.targetLatency = std::chrono::milliseconds(4000);
        fixture.setRoute(route);
        ScriptedServer& server = fixture.addServer([](const HttpRequest&) { return ScriptedResponse(); }, 1);
        // One request runs, and one is queued at the server.
        auto requestFor = [&fixture](const std::string& id, const std::string& deadline) {
            HttpRequest request = fixture.request(id);
            request.headers.back().value = deadline;
            return request;
        };
        fixture.start(requestFor("running", "20000"));
        fixture.start(requestFor("queued", "20000"));
        REQUIRE(fixture.runUntil([&] { return server.requests().size() == 2; }));
        std::shared_ptr<CallerResult> newRequest = fixture.start(requestFor("first", "20000"));
        std::shared_ptr<CallerResult> returningRequest = fixture.start(requestFor("returned", "15000"));
        REQUIRE(fixture.runUntil([&] { return newRequest->isDone || returningRequest->isDone; }));
        CHECK(newRequest->isDone == isAfterOutage);
        REQUIRE(fixture.runUntil([&] { return newRequest->isDone && returningRequest->isDone; }));
        CHECK(newRequest->status == 503);
        CHECK(returningRequest->status == 503);
        CHECK(!returningRequest->header("Retry-After").empty());
        CHECK(server.requests().size() == 2);
    }
}

// Guards against requests that are interrupted by the end of the process, and against refusing requests that end before.
TEST_CASE("during a shutdown an entry accepts only requests whose timeout is before the end of the process")
{
    for (RequestKind kind : { RequestKind::Idempotent, RequestKind::Streaming }) {
        GatewayFixture fixture;
        Route route = routeOf(kind);
        route.timeout = std::chrono::milliseconds(kind == RequestKind::Streaming ? 60000 : 10000);
        fixture.setRoute(route);
        fixture.addServer([](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, "id: 1\ndata: x\n\n"), AfterResponse::KeepOpen, false }; });
        fixture.forwarder.setShutdownTime(fixture.clock.now() + std::chrono::seconds(30));
        CHECK(fixture.call(fixture.request("a")).status == (kind == RequestKind::Streaming ? 503 : 200));
    }
}

// Guards against requests that last longer than the configured timeout.
TEST_CASE("at the timeout of the route a request gets 504 if it was sent to a server, and 503 otherwise")
{
    for (bool hasServer : { true, false }) {
        GatewayFixture fixture;
        Route route = routeOf(RequestKind::NonIdempotent, 1);
        route.timeout = std::chrono::milliseconds(300);
        fixture.setRoute(route);
        if (hasServer)
            fixture.addServer([](const HttpRequest&) { return ScriptedResponse { "", AfterResponse::KeepOpen, false }; });
        CHECK(fixture.call(fixture.request("a")).status == (hasServer ? 504 : 503));
    }
}

// Guards against forwarding keys to servers, and against callers that set the customer header themselves.
TEST_CASE("the key determines the customer and is not forwarded")
{
    GatewayFixture fixture;
    fixture.customers = std::vector<CustomerKeys> { { "acme", { "k1" }, std::nullopt } };
    fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
    ScriptedServer& server = fixture.addServer([](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, "ok"), AfterResponse::KeepOpen, false }; });
    HttpRequest request = fixture.request("a");
    request.headers.push_back({ "Customer", "other" });
    CHECK(fixture.call(request).status == 401);
    request.headers.push_back({ "Authorization", "Token k1" });
    CHECK(fixture.call(request).status == 200);
    REQUIRE(server.requests().size() == 1);
    const HttpRequest& seen = server.requests().front();
    CHECK(findHeader(seen.headers, "Customer") == "acme");
    CHECK(!findHeader(seen.headers, "Authorization"));
    CHECK(findHeader(seen.headers, "Expected-Server") == "s1");
    CHECK(std::stoi(findHeader(seen.headers, "Deadline-Ms").value_or("0")) <= 3000);
    CHECK(seen.body == request.body);
    CHECK(seen.target == request.target);
}

// Guards against a service that opens to every caller when the last customer or the last key is withdrawn.
TEST_CASE("without a list of customers all requests run, and with one only those with a valid key")
{
    struct Case {
        CustomerList customers;
        bool isPublic;
        int status;
    };
    const std::vector<Case> cases {
        { std::nullopt, false, 200 },
        { std::vector<CustomerKeys> {}, false, 401 },
        { std::vector<CustomerKeys> { { "acme", {}, std::nullopt } }, false, 401 },
        { std::vector<CustomerKeys> { { "acme", { "k1" }, std::nullopt } }, false, 401 },
        { std::vector<CustomerKeys> {}, true, 200 },
    };
    for (const Case& access : cases) {
        GatewayFixture fixture;
        fixture.addServer([](const HttpRequest& request) { return ScriptedResponse { GatewayFixture::responseTo(request, "ok"), AfterResponse::KeepOpen, false }; });
        // The key is valid in an earlier catalog.
        fixture.customers = std::vector<CustomerKeys> { { "acme", { "withdrawn" }, std::nullopt } };
        fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
        HttpRequest request = fixture.request("a");
        request.headers.push_back({ "Authorization", "Token withdrawn" });
        CHECK(fixture.call(request).status == 200);
        fixture.customers = access.customers;
        Route route = routeOf(RequestKind::NonIdempotent, 1);
        route.isPublic = access.isPublic;
        fixture.setRoute(route);
        CHECK(fixture.call(request).status == access.status);
        CHECK(fixture.call(fixture.request("without key")).status == access.status);
    }
}

// Guards against a process without a catalog that reports routes as unknown.
TEST_CASE("without a catalog requests get 503, and with one requests for unknown routes get 404")
{
    GatewayFixture fixture;
    CHECK(fixture.call(fixture.request("a")).status == 503);
    fixture.setRoute(routeOf(RequestKind::NonIdempotent, 1));
    HttpRequest request = fixture.request("b");
    request.target = "/other/x";
    CHECK(fixture.call(request).status == 404);
}

// Guards against a group restart during which the refusals use up the retries of all requests.
TEST_CASE("requests wait for a service that refuses all requests")
{
    GatewayFixture fixture;
    Route route = routeOf(RequestKind::Streaming);
    route.targetLatency = std::chrono::milliseconds(100);
    fixture.setRoute(route);
    bool isRestarting = true;
    int refused = 0;
    for (int i = 0; i < 4; ++i) {
        fixture.addServer([&](const HttpRequest& request) {
            std::string id = findHeader(request.headers, "Request-Id").value_or("");
            if (isRestarting) {
                ++refused;
                return ScriptedResponse { "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", AfterResponse::KeepOpen, false };
            }
            return ScriptedResponse { GatewayFixture::streamHead(request) + GatewayFixture::chunk(GatewayFixture::event(1)) + "0\r\n\r\n", AfterResponse::KeepOpen, false };
        });
    }
    std::vector<std::shared_ptr<CallerResult>> results;
    for (const char* id : { "a", "b", "c", "d", "e", "f" })
        results.push_back(fixture.start(fixture.request(id)));
    std::unique_ptr<Timer> restarted = fixture.loop.after(std::chrono::milliseconds(700), [&isRestarting] { isRestarting = false; });
    CHECK(fixture.runUntil([&] { return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->isDone; }); }));
    CHECK(std::all_of(results.begin(), results.end(), [](const auto& result) { return result->status == 200; }));
    CHECK(refused <= 24);
}

// Guards against a request that fails because the idle pooled connections to two servers were reset.
TEST_CASE("stale connections do not use up the attempts of a request that may be retried")
{
    GatewayFixture fixture;
    fixture.setRoute(routeOf(RequestKind::Idempotent, 2));
    bool isStale = false;
    int reset = 0;
    for (int i = 0; i < 3; ++i) {
        fixture.addServer([&](const HttpRequest& request) {
            bool isOld = isStale && reset < 2;
            reset += isOld ? 1 : 0;
            return ScriptedResponse { isOld ? "" : GatewayFixture::responseTo(request, "ok"), isOld ? AfterResponse::Reset : AfterResponse::KeepOpen, false };
        });
    }
    std::vector<std::shared_ptr<CallerResult>> results;
    results.reserve(6);
    for (int i = 0; i < 6; ++i)
        results.push_back(fixture.start(fixture.request(std::to_string(i))));
    REQUIRE(fixture.runUntil([&] { return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->isDone; }); }));
    isStale = true;
    CHECK(fixture.call(fixture.request("a")).body == "ok");
}

// Guards against a request that ends twice when its stream is interrupted.
TEST_CASE("an interrupted stream is counted once, and not as cancelled by its caller")
{
    GatewayFixture fixture;
    Route route = routeOf(RequestKind::Streaming, 1);
    fixture.setRoute(route);
    fixture.addServer([](const HttpRequest& request) {
        return ScriptedResponse { GatewayFixture::streamHead(request) + GatewayFixture::chunk(GatewayFixture::event(1)), AfterResponse::Reset, true };
    });
    CHECK(!fixture.call(fixture.request("a")).isComplete);
    CHECK(fixture.counters.cutStreams == 1);
    CHECK(fixture.counters.cancelled == 0);
}

}
