#include "Transport/LinkHandshake.h"

#include "Transport/CborBody.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr const char* challengeType = "challenge";
constexpr const char* proofType = "proof";
constexpr std::size_t nonceBytes = 32;
constexpr std::size_t nonceLength = 2 * nonceBytes;

std::string toHex(ByteView bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (std::uint8_t byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

std::string hmac(const std::string& secret, const std::string& message)
{
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    const unsigned char* data = reinterpret_cast<const unsigned char*>(message.data());
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data, message.size(), digest.data(), &length);
    return toHex(ByteView(digest.data(), length));
}

// Takes the same time regardless of where the strings differ, to prevent timing attacks.
bool equalsInConstantTime(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

LinkSide peerSide(LinkSide side)
{
    return side == LinkSide::Client ? LinkSide::Server : LinkSide::Client;
}

}

LinkHandshake::LinkHandshake(LinkKeys keys, LinkSide side, std::string nonce)
    : keys_(std::move(keys))
    , side_(side)
    , nonce_(std::move(nonce))
{
}

Frame LinkHandshake::challenge() const
{
    return makeFrame(challengeType, 0, { { "nonce", nonce_ } });
}

std::optional<Frame> LinkHandshake::receive(const Frame& frame)
{
    std::optional<Frame> response;
    if (state_ != HandshakeState::Pending)
        return response;
    try {
        if (frame.type == challengeType)
            response = respondToChallenge(frame);
        else if (frame.type == proofType)
            verifyProof(frame);
        else
            state_ = HandshakeState::Failed;
    } catch (const Error&) {
        state_ = HandshakeState::Failed;
    }
    if (state_ == HandshakeState::Pending && hasResponded_ && isPeerAuthenticated_)
        state_ = HandshakeState::Done;
    return response;
}

std::optional<Frame> LinkHandshake::respondToChallenge(const Frame& frame)
{
    peerNonce_ = decodeBody(challengeType, frame.body, [](const Json& json) { return json.at("nonce").get<std::string>(); });
    if (hasResponded_ || peerNonce_.size() != nonceLength || peerNonce_ == nonce_) {
        state_ = HandshakeState::Failed;
        return std::nullopt;
    }
    hasResponded_ = true;
    const LinkKey& key = keys_.first();
    return makeFrame(proofType, 0, { { "key", key.id }, { "hmac", proof(key, side_) } });
}

void LinkHandshake::verifyProof(const Frame& frame)
{
    auto [id, digest] = decodeBody(proofType, frame.body, [](const Json& json) {
        return std::make_pair(json.at("key").get<std::string>(), json.at("hmac").get<std::string>());
    });
    const LinkKey* key = keys_.find(id);
    // The proof can only be verified once the challenge of the peer with its nonce has arrived.
    if (key == nullptr || !hasResponded_ || !equalsInConstantTime(digest, proof(*key, peerSide(side_)))) {
        state_ = HandshakeState::Failed;
        return;
    }
    isPeerAuthenticated_ = true;
}

std::string LinkHandshake::proof(const LinkKey& key, LinkSide side) const
{
    const std::string& clientNonce = side_ == LinkSide::Client ? nonce_ : peerNonce_;
    const std::string& serverNonce = side_ == LinkSide::Client ? peerNonce_ : nonce_;
    std::string label = side == LinkSide::Client ? "client" : "server";
    return hmac(key.secret, label + "|" + clientNonce + "|" + serverNonce);
}

std::string makeNonce()
{
    std::array<std::uint8_t, nonceBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw Error(ResultCode::Internal, "the cryptographic library failed to generate random bytes");
    return toHex(bytes);
}

}
