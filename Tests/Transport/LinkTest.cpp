#include "Core/Error.h"
#include "Transport/LinkClient.h"
#include "Transport/LinkServer.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds generousLimit { 20000 };

}

TEST_CASE("a frame keeps its form")
{
    Frame frame { "call", 77, { 1, 2, 3 } };
    Frame decoded = decodeFrame(encodeFrame(frame));
    CHECK(decoded.type == "call");
    CHECK(decoded.time == 77);
    CHECK(decoded.body == Bytes { 1, 2, 3 });
}

// Guards against a process that a malformed frame ends.
TEST_CASE("bytes that are no frame are refused")
{
    Bytes bytes { 0xff, 0x00, 0x12 };
    CHECK_THROWS_AS(decodeFrame(bytes), Error);
    CHECK_THROWS_AS(decodeFrame(Bytes()), Error);
}

TEST_CASE("a link carries frames both ways and reports its end")
{
    EventLoop loop;
    Random random(1);
    Endpoint endpoint { "127.0.0.1", 18471 };
    bool answered = false;
    bool closed = false;
    LinkHandlers serverHandlers;
    serverHandlers.onOpen = [](const std::shared_ptr<LinkSession>&) {};
    serverHandlers.onFrame = [](const std::shared_ptr<LinkSession>& session, const Frame& frame) { session->send({ "answer", 0, frame.body }); };
    serverHandlers.onClose = [&](const std::shared_ptr<LinkSession>&) {
        closed = true;
        loop.stop();
    };
    LinkServer server(loop, endpoint, serverHandlers);
    std::unique_ptr<LinkClient> client;
    LinkHandlers clientHandlers;
    clientHandlers.onOpen = [](const std::shared_ptr<LinkSession>& session) { session->send({ "question", 0, { 9 } }); };
    clientHandlers.onFrame = [&](const std::shared_ptr<LinkSession>&, const Frame& frame) {
        answered = frame.type == "answer" && frame.body == Bytes { 9 };
        loop.post([&client] { client = nullptr; });
    };
    clientHandlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    client = std::make_unique<LinkClient>(loop, random, endpoint, clientHandlers);
    std::unique_ptr<Timer> limit = loop.after(generousLimit, [&loop] { loop.stop(); });
    loop.run();
    CHECK(answered);
    CHECK(closed);
}

}
