#pragma once

#include "Core/HybridClock.h"

#include <gsl/span>

#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

using Bytes = std::vector<std::uint8_t>;
using ByteView = gsl::span<const std::uint8_t>;

constexpr int protocolVersion = 1;
constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;

// A message between two processes of the system. The component that defines the message type encodes
// and decodes the body.
struct Frame {
    std::string type;
    // The hybrid logical time of the sender.
    HybridTime time { 0 };
    Bytes body;
};

// Encodes a frame as a CBOR map with the keys v (protocol version), t (type), h (hybrid time) and b (body).
Bytes encodeFrame(const Frame& frame);

// Throws Error(BadFrame) if the bytes are not a valid frame, exceed maxFrameBytes or have a different protocol version.
Frame decodeFrame(ByteView bytes);

}
