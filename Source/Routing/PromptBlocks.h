#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// Bytes of prompt text in one block of the prefix cache.
constexpr std::size_t promptBlockBytes = 256;

// Bounds the work for one selection; a longer prefix is judged by its first 512 blocks (128 KiB).
constexpr std::size_t maximumPromptBlocks = 512;

// Returns the hashes of the prompt's prefixes, one for each whole block. Each is the XXH64 of the
// block with the hash of the prefix before it as seed (0 for the first block), so that equal hashes
// mean equal prefixes. Engines publish the same hashes in their cache events.
std::vector<std::uint64_t> promptBlockHashes(std::string_view prompt);

}
