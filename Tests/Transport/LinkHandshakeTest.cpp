#include "Transport/LinkHandshake.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

const std::string oldSecret(32, 'o');
const std::string newSecret(32, 'n');

// Runs the handshake between a client and a server, and returns their states.
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

// Guards against a handshake that rejects a peer with the same key.
TEST_CASE("the handshake succeeds if both sides have a common key")
{
    CHECK(runHandshake("k:" + oldSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Done, HandshakeState::Done));
}

// Guards against failed links while keys are replaced one process at a time.
TEST_CASE("keys can be replaced without interrupting links")
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

// Guards against foreign processes that send orders or accept calls.
TEST_CASE("the handshake fails if one side does not have the key")
{
    CHECK(runHandshake("k:" + newSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Failed, HandshakeState::Failed));
    CHECK(runHandshake("other:" + oldSecret, "k:" + oldSecret) == std::make_pair(HandshakeState::Failed, HandshakeState::Failed));
}

// Guards against reflection attacks, in which an attacker sends the proof of the server back to it.
TEST_CASE("a reflected proof is rejected")
{
    LinkKeys keys = LinkKeys::parse("k:" + oldSecret);
    LinkHandshake server(keys, LinkSide::Server, makeNonce());
    LinkHandshake attacker(keys, LinkSide::Client, makeNonce());
    std::optional<Frame> serverProof = server.receive(attacker.challenge());
    server.receive(*serverProof);
    CHECK(server.state() == HandshakeState::Failed);
}

// Guards against replay attacks, in which a recorded proof is used to open another link.
TEST_CASE("a proof from another link is rejected")
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

// Guards against peers that skip the handshake.
TEST_CASE("the handshake fails if another frame arrives before the proof")
{
    LinkKeys keys = LinkKeys::parse("k:" + oldSecret);
    LinkHandshake server(keys, LinkSide::Server, makeNonce());
    server.receive({ "hello", 0, {} });
    CHECK(server.state() == HandshakeState::Failed);
}

// Guards against link keys that appear in logs.
TEST_CASE("error messages for malformed keys do not contain secrets")
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
