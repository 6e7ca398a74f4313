#include "Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

enum class Framing {
    Chunks,
    Length,
    // Neither: the response ends with its connection.
    Connection,
};

Route streamRoute(bool isResumable)
{
    Route route;
    route.name = "r";
    route.kind = RequestKind::Streaming;
    route.isResumable = isResumable;
    route.timeout = std::chrono::milliseconds(3000);
    route.maxAttempts = 2;
    return route;
}

ScriptedResponse streamOf(const HttpRequest& request, Framing framing, const std::string& body)
{
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + findHeader(request.headers, "Request-Id").value_or("") + "\r\nSignature: sig\r\nContent-Type: text/event-stream\r\n";
    if (framing == Framing::Connection)
        return { head + "\r\n" + body, AfterResponse::Close, true };
    if (framing == Framing::Length)
        return { head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, AfterResponse::KeepOpen, false };
    return { GatewayFixture::streamHead(request) + GatewayFixture::chunk(body) + "0\r\n\r\n", AfterResponse::KeepOpen, false };
}

}

// Guards against whole streams that are run again and cut because of bytes behind their last event.
TEST_CASE("a whole stream with empty lines or comments behind its last event is delivered unchanged and once")
{
    for (Framing framing : { Framing::Chunks, Framing::Length, Framing::Connection }) {
        for (bool isResumable : { true, false }) {
            for (const std::string& rest : std::vector<std::string> { "", "\n", "\r\n", "\n\n\n", ": comment\n", ": comment\n\n", ":", ": unfinished", "\r" }) {
                // Without a length or chunks, a line without an end may have been cut.
                if (framing == Framing::Connection && !rest.empty() && rest.back() != '\n')
                    continue;
                CAPTURE(static_cast<int>(framing));
                CAPTURE(isResumable);
                CAPTURE(rest);
                GatewayFixture fixture;
                fixture.setRoute(streamRoute(isResumable));
                std::string body = GatewayFixture::event(1) + GatewayFixture::event(2) + rest;
                for (int i = 0; i < 2; ++i)
                    fixture.addServer([&](const HttpRequest& request) { return streamOf(request, framing, body); });
                CallerResult result = fixture.call(fixture.request("a"));
                CHECK(result.isComplete);
                CHECK(result.body == body);
                CHECK(fixture.servers[0]->requests().size() + fixture.servers[1]->requests().size() == 1);
            }
        }
    }
}

// Guards against a stream that was broken off and looks complete, because its server has ended the response in order.
TEST_CASE("a stream that ends within an event is broken off, however its response ends")
{
    for (Framing framing : { Framing::Chunks, Framing::Length, Framing::Connection }) {
        for (bool isResumable : { true, false }) {
            for (const std::string& rest : std::vector<std::string> { "id: 3\n", "id: 3\ndata: pie", "data", "\nid: 3\n", ": comment\nid: 3\ndata: piece 3\n", "i", ": unfinished" }) {
                if (framing != Framing::Connection && rest == ": unfinished")
                    continue;
                CAPTURE(static_cast<int>(framing));
                CAPTURE(isResumable);
                CAPTURE(rest);
                GatewayFixture fixture;
                fixture.setRoute(streamRoute(isResumable));
                std::string events = GatewayFixture::event(1) + GatewayFixture::event(2);
                for (int i = 0; i < 2; ++i) {
                    fixture.addServer([&](const HttpRequest& request) {
                        bool isResumed = findHeader(request.headers, "Last-Event-Id") == "2";
                        return streamOf(request, framing, isResumed ? GatewayFixture::event(3) + "\n" : events + rest);
                    });
                }
                CallerResult result = fixture.call(fixture.request("a"));
                CHECK(result.isComplete == isResumable);
                // The reset that breaks off the stream may overtake events.
                std::string expected = isResumable ? events + GatewayFixture::event(3) + "\n" : events.substr(0, result.body.size());
                CHECK(result.body == expected);
                CHECK(fixture.servers[0]->requests().size() + fixture.servers[1]->requests().size() == (isResumable ? 2 : 1));
            }
        }
    }
}

// Guards against streams that are never delivered because their lines end otherwise.
TEST_CASE("streams whose lines end with CR, LF or CRLF are delivered and resumed")
{
    for (const std::string& end : std::vector<std::string> { "\r", "\n", "\r\n" }) {
        CAPTURE(end);
        GatewayFixture fixture;
        fixture.setRoute(streamRoute(true));
        auto event = [&end](int number) {
            std::string text = "id: " + std::to_string(number);
            return text.append(end).append("data: piece").append(end).append(end);
        };
        for (int i = 0; i < 2; ++i) {
            fixture.addServer([&](const HttpRequest& request) {
                bool isResumed = findHeader(request.headers, "Last-Event-Id") == "2";
                return streamOf(request, Framing::Chunks, isResumed ? event(3) : event(1) + event(2) + "id: 3" + end + "da");
            });
        }
        CallerResult result = fixture.call(fixture.request("a"));
        CHECK(result.isComplete);
        CHECK(result.body == event(1) + event(2) + event(3));
    }
}

}
