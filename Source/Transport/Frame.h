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

// A message between two processes of the system: its type and its body, which the slice
// that owns the type encodes and decodes.
struct Frame {
    std::string type;
    HybridTime time { 0 };
    Bytes body;
};

// Encodes a frame as one CBOR map with the keys v, t, h and b.
Bytes encodeFrame(const Frame& frame);

// Throws Error(BadFrame) if the bytes are no frame, exceed maxFrameBytes or have another protocol version.
Frame decodeFrame(ByteView bytes);

}
