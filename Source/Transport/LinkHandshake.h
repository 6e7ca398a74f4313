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

// Mutual authentication at the start of a link. Each side sends a fresh nonce as its challenge, and responds to the
// challenge of the peer with a proof: an HMAC-SHA256 over both nonces and its side of the link. The side in the proof
// prevents reflection attacks; the nonces prevent replay attacks. The handshake does not protect subsequent frames,
// so links must stay within a trusted network.
class LinkHandshake {
public:
    // The nonce must be unique for each handshake. See makeNonce.
    LinkHandshake(LinkKeys keys, LinkSide side, std::string nonce);

    // Returns the first frame to send.
    Frame challenge() const;

    // Processes a frame from the peer. Returns the frame to send in response, if any.
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

// Returns 32 cryptographically secure random bytes in hexadecimal form.
std::string makeNonce();

}
