#include "Transport/LinkHandshake.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

const std::string oldSecret(32, 'o');
const std::string newSecret(32, 'n');

// Runs the handshake between two sides and returns the states of client and server.
std::pair<HandshakeState, HandshakeState> shake(const std::string& clientKeys, const std::string& serverKeys)
{
    LinkKeys keysOfClient = LinkKeys::parse(clientKeys);
    LinkKeys keysOfServer = LinkKeys::parse(serverKeys);
    LinkHandshake client(keysOfClient, LinkSide::Client, makeNonce());
    LinkHandshake server(keysOfServer, LinkSide::Server, makeNonce());
    std::optional<Frame> proofOfServer = server.receive(client.challenge());
    std::optional<Frame> proofOfClient = client.receive(server.challenge());
    client.receive(*proofOfServer);
    server.receive(*proofOfClient);
    return { client.state(), server.state() };
}

}

TEST_CASE("both sides with a common key are proven")
{
    CHECK(shake("k:" + oldSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Done, HandshakeState::Done));
}

// Guards against links that break while keys are replaced one process at a time.
TEST_CASE("keys are replaced without a break")
{
    std::string before = "old:" + oldSecret;
    std::string added = "old:" + oldSecret + ",new:" + newSecret;
    std::string switched = "new:" + newSecret + ",old:" + oldSecret;
    std::string after = "new:" + newSecret;
    std::pair<HandshakeState, HandshakeState> done { HandshakeState::Done, HandshakeState::Done };
    CHECK(shake(before, added) == done);
    CHECK(shake(added, switched) == done);
    CHECK(shake(switched, after) == done);
}

// Guards against a process that gives orders or takes calls without belonging to the system.
TEST_CASE("a side without the key is refused")
{
    CHECK(shake("k:" + newSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Failed, HandshakeState::Failed));
    CHECK(shake("other:" + oldSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Failed, HandshakeState::Failed));
}

// Guards against a stranger that sends back the proof that the other side has just made.
TEST_CASE("a reflected proof is refused")
{
    LinkKeys keys = LinkKeys::parse("k:" + oldSecret);
    LinkHandshake server(keys, LinkSide::Server, makeNonce());
    LinkHandshake stranger(keys, LinkSide::Client, makeNonce());
    std::optional<Frame> proofOfServer = server.receive(stranger.challenge());
    server.receive(*proofOfServer);
    CHECK(server.state() == HandshakeState::Failed);
}

// Guards against a recorded proof that opens a later link.
TEST_CASE("a proof of another link is refused")
{
    LinkKeys keys = LinkKeys::parse("k:" + oldSecret);
    LinkHandshake firstServer(keys, LinkSide::Server, makeNonce());
    LinkHandshake client(keys, LinkSide::Client, makeNonce());
    std::optional<Frame> recorded = client.receive(firstServer.challenge());
    LinkHandshake secondServer(keys, LinkSide::Server, makeNonce());
    secondServer.receive(client.challenge());
    secondServer.receive(*recorded);
    CHECK(secondServer.state() == HandshakeState::Failed);
}

// Guards against a side that skips the handshake.
TEST_CASE("any other frame before the proof ends the handshake")
{
    LinkKeys keys = LinkKeys::parse("k:" + oldSecret);
    LinkHandshake server(keys, LinkSide::Server, makeNonce());
    server.receive({ "hello", 0, {} });
    CHECK(server.state() == HandshakeState::Failed);
}

TEST_CASE("malformed keys are refused without their secrets")
{
    std::string key = "k:" + oldSecret;
    std::string twice = key;
    twice.append(",").append(key);
    for (const std::string& text : { std::string("k"), ":" + oldSecret, std::string("k:short"), twice }) {
        try {
            LinkKeys::parse(text);
            FAIL("accepted " << text);
        } catch (const Error& error) {
            CHECK(std::string(error.what()).find("short") == std::string::npos);
            CHECK(std::string(error.what()).find(oldSecret) == std::string::npos);
        }
    }
}

}
