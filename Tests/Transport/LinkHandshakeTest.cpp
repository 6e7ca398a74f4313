#include "Transport/LinkHandshake.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

const std::string oldSecret(32, 'o');
const std::string newSecret(32, 'n');

// Runs the handshake between two sides and returns the states of client and server.
std::pair<HandshakeState, HandshakeState> runHandshake(const std::string& clientKeys, const std::string& serverKeys)
{
    LinkKeys parsedClientKeys = LinkKeys::parse(clientKeys);
    LinkKeys parsedServerKeys = LinkKeys::parse(serverKeys);
    LinkHandshake client(parsedClientKeys, LinkSide::Client, makeNonce());
    LinkHandshake server(parsedServerKeys, LinkSide::Server, makeNonce());
    std::optional<Frame> serverProof = server.receive(client.challenge());
    std::optional<Frame> clientProof = client.receive(server.challenge());
    client.receive(*serverProof);
    server.receive(*clientProof);
    return { client.state(), server.state() };
}

}

TEST_CASE("both sides with a common key are proven")
{
    CHECK(runHandshake("k:" + oldSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Done, HandshakeState::Done));
}

// Guards against links that break while keys are replaced one process at a time.
TEST_CASE("keys are replaced without a break")
{
    std::string before = "old:" + oldSecret;
    std::string added = "old:" + oldSecret + ",new:" + newSecret;
    std::string switched = "new:" + newSecret + ",old:" + oldSecret;
    std::string after = "new:" + newSecret;
    std::pair<HandshakeState, HandshakeState> done { HandshakeState::Done, HandshakeState::Done };
    CHECK(runHandshake(before, added) == done);
    CHECK(runHandshake(added, switched) == done);
    CHECK(runHandshake(switched, after) == done);
}

// Guards against a process that gives orders or takes calls without belonging to the system.
TEST_CASE("a side without the key is refused")
{
    CHECK(runHandshake("k:" + newSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Failed, HandshakeState::Failed));
    CHECK(runHandshake("other:" + oldSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Failed, HandshakeState::Failed));
}

// Guards against a stranger that sends back the proof that the other side has just made.
TEST_CASE("a reflected proof is refused")
{
    LinkKeys keys = LinkKeys::parse("k:" + oldSecret);
    LinkHandshake server(keys, LinkSide::Server, makeNonce());
    LinkHandshake attacker(keys, LinkSide::Client, makeNonce());
    std::optional<Frame> serverProof = server.receive(attacker.challenge());
    server.receive(*serverProof);
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
    std::string duplicateKeys = key;
    duplicateKeys.append(",").append(key);
    for (const std::string& text : { std::string("k"), ":" + oldSecret, std::string("k:short"), duplicateKeys }) {
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
