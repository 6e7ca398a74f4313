#include "Core/Error.h"
#include "LoopRunner.h"
#include "Transport/LinkClient.h"
#include "Transport/LinkServer.h"
#include "Transport/MalformedHeads.h"
#include "Transport/ScriptedServer.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds testTimeout { 20000 };

}

// Guards against frame fields that are lost in the encoding.
TEST_CASE("a decoded frame equals the encoded one")
{
    Frame frame { "call", 77, { 1, 2, 3 } };
    Frame decoded = decodeFrame(encodeFrame(frame));
    CHECK(decoded.type == "call");
    CHECK(decoded.time == 77);
    CHECK(decoded.body == Bytes { 1, 2, 3 });
}

// Guards against malformed frames that terminate the process.
TEST_CASE("bytes that are not a valid frame are rejected")
{
    Bytes bytes { 0xff, 0x00, 0x12 };
    CHECK_THROWS_AS(decodeFrame(bytes), Error);
    CHECK_THROWS_AS(decodeFrame(Bytes()), Error);
}

// Guards against lost frames and against a closed link that is not reported.
TEST_CASE("a link transfers frames in both directions and reports when it is closed")
{
    EventLoop loop;
    Random random(1);
    Endpoint endpoint { "127.0.0.1", 18471 };
    bool responseReceived = false;
    bool closed = false;
    LinkHandlers serverHandlers;
    serverHandlers.onOpen = [](const std::shared_ptr<LinkSession>&) {};
    serverHandlers.onFrame = [](const std::shared_ptr<LinkSession>& session, const Frame& frame) { session->send({ "response", 0, frame.body }); };
    serverHandlers.onClose = [&](const std::shared_ptr<LinkSession>&) {
        closed = true;
        loop.stop();
    };
    LinkServer server(loop, endpoint, LinkKeys(), serverHandlers);
    std::unique_ptr<LinkClient> client;
    LinkHandlers clientHandlers;
    clientHandlers.onOpen = [](const std::shared_ptr<LinkSession>& session) { session->send({ "request", 0, { 9 } }); };
    clientHandlers.onFrame = [&](const std::shared_ptr<LinkSession>&, const Frame& frame) {
        responseReceived = frame.type == "response" && frame.body == Bytes { 9 };
        loop.post([&client] { client = nullptr; });
    };
    clientHandlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    client = std::make_unique<LinkClient>(loop, random, endpoint, LinkKeys(), clientHandlers);
    std::unique_ptr<Timer> timeoutTimer = loop.after(testTimeout, [&loop] { loop.stop(); });
    loop.run();
    CHECK(responseReceived);
    CHECK(closed);
}

// Guards against links to processes without a common key, and against failed handshakes that are not counted.
TEST_CASE("a link without a common key is not opened and counts as a failed handshake")
{
    EventLoop loop;
    Random random(1);
    Endpoint endpoint { "127.0.0.1", 18476 };
    int opened = 0;
    LinkHandlers handlers;
    handlers.onOpen = [&](const std::shared_ptr<LinkSession>&) { ++opened; };
    handlers.onFrame = [](const std::shared_ptr<LinkSession>&, const Frame&) {};
    handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    LinkServer server(loop, endpoint, LinkKeys::parse("k:" + std::string(32, 'a')), handlers);
    LinkClient clientWithOtherKey(loop, random, endpoint, LinkKeys::parse("k:" + std::string(32, 'b')), handlers);
    LinkClient clientWithoutKeys(loop, random, endpoint, LinkKeys(), handlers);
    std::unique_ptr<Timer> poll = loop.every(std::chrono::milliseconds(10), [&] {
        if (server.counters().failedHandshakes > 0)
            loop.stop();
    });
    std::unique_ptr<Timer> timeoutTimer = loop.after(testTimeout, [&loop] { loop.stop(); });
    loop.run();
    CHECK(server.counters().failedHandshakes > 0);
    CHECK(server.counters().opened == 0);
    CHECK(opened <= 1);
}

// Guards against a handshake that completes on one side only.
TEST_CASE("a link with a common key is opened on both sides")
{
    EventLoop loop;
    Random random(1);
    Endpoint endpoint { "127.0.0.1", 18477 };
    LinkKeys keys = LinkKeys::parse("k:" + std::string(32, 'a'));
    int opened = 0;
    LinkHandlers handlers;
    handlers.onOpen = [&](const std::shared_ptr<LinkSession>&) {
        if (++opened == 2)
            loop.stop();
    };
    handlers.onFrame = [](const std::shared_ptr<LinkSession>&, const Frame&) {};
    handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    LinkServer server(loop, endpoint, keys, handlers);
    LinkClient client(loop, random, endpoint, keys, handlers);
    std::unique_ptr<Timer> timeoutTimer = loop.after(testTimeout, [&loop] { loop.stop(); });
    loop.run();
    CHECK(opened == 2);
}

// Guards against closed links that keep their sockets open: a peer that continues to send would block,
// and the process would run out of file descriptors.
TEST_CASE("the sessions of a closed link are destroyed")
{
    EventLoop loop;
    Random random(1);
    Endpoint endpoint { "127.0.0.1", 18478 };
    std::weak_ptr<LinkSession> serverSession;
    LinkHandlers serverHandlers;
    serverHandlers.onOpen = [&](const std::shared_ptr<LinkSession>& session) { serverSession = session; };
    serverHandlers.onFrame = [](const std::shared_ptr<LinkSession>&, const Frame&) {};
    serverHandlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    std::weak_ptr<LinkSession> clientSession;
    LinkHandlers clientHandlers;
    clientHandlers.onOpen = [&](const std::shared_ptr<LinkSession>& session) {
        clientSession = session;
        session->close();
    };
    clientHandlers.onFrame = [](const std::shared_ptr<LinkSession>&, const Frame&) {};
    clientHandlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    LinkServer server(loop, endpoint, LinkKeys(), serverHandlers);
    std::unique_ptr<LinkClient> client = std::make_unique<LinkClient>(loop, random, endpoint, LinkKeys(), clientHandlers);
    std::unique_ptr<Timer> poll = loop.every(std::chrono::milliseconds(10), [&] {
        if (server.counters().closed > 0)
            client = nullptr;
        if (!client && serverSession.expired() && clientSession.expired())
            loop.stop();
    });
    std::unique_ptr<Timer> timeoutTimer = loop.after(testTimeout, [&loop] { loop.stop(); });
    loop.run();
    CHECK(serverSession.expired());
    CHECK(clientSession.expired());
}

// Guards against a peer in trouble whose response to the opening handshake counts as an open link.
TEST_CASE("a link is not opened by a response that does not accept the handshake")
{
    std::vector<std::string> responses { "HTTP/1.1 000 X\r\n", "HTTP/1.1 100 X\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 101 X\r\n",
        "HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: wrong\r\n" };
    for (const std::string& line : malformedHeaderLines())
        responses.push_back("HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" + line);
    for (const std::string& response : responses) {
        CAPTURE(response);
        EventLoop loop;
        Random random(1);
        ScriptedServer server(loop, [&response](const HttpRequest&) { return ScriptedResponse { response + "\r\n", AfterResponse::Close }; });
        int opened = 0;
        LinkHandlers handlers;
        handlers.onOpen = [&](const std::shared_ptr<LinkSession>&) { ++opened; };
        handlers.onFrame = [](const std::shared_ptr<LinkSession>&, const Frame&) {};
        handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
        LinkClient client(loop, random, server.endpoint(), LinkKeys(), handlers);
        CHECK(runLoopUntil(loop, [&] { return server.requests().size() > 1; }));
        CHECK(opened == 0);
    }
}

}
