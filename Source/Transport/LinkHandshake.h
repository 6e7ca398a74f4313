#pragma once

#include "Transport/Frame.h"
#include "Transport/LinkKeys.h"

#include <optional>
#include <string>

namespace Damaskgrade {

enum class LinkSide {
    Client,
    Server,
};

enum class HandshakeState {
    Pending,
    Done,
    Failed,
};

// Mutual authentication at the start of a link: each side sends a fresh nonce and answers the
// other's with an HMAC-SHA256 over both nonces and its side. The side in the proof keeps a proof
// from being sent back to its sender; the nonces keep an old one from being used again.
// It does not protect the frames that follow, so links stay within a trusted network.
class LinkHandshake {
public:
    // The nonce must never repeat; see makeNonce.
    LinkHandshake(LinkKeys keys, LinkSide side, std::string nonce);

    // Returns the first frame to send.
    Frame challenge() const;

    // Takes a frame of the other side. Returns a frame to send, if any.
    std::optional<Frame> receive(const Frame& frame);

    HandshakeState state() const { return state_; }

private:
    std::optional<Frame> respondToChallenge(const Frame& frame);
    void verifyProof(const Frame& frame);
    std::string proof(const LinkKey& key, LinkSide side) const;

    LinkKeys keys_;
    LinkSide side_;
    std::string nonce_;
    std::string peerNonce_;
    bool hasResponded_ { false };
    bool isPeerAuthenticated_ { false };
    HandshakeState state_ { HandshakeState::Pending };
};

// Returns 32 random bytes of the cryptographic library in hexadecimal form.
std::string makeNonce();

}
