#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// Size of one block of the prefix cache in bytes of prompt text.
constexpr std::size_t promptBlockBytes = 256;

// Bounds the work for one selection. Only the first 512 blocks (128 KiB) of a longer prompt are considered.
constexpr std::size_t maximumPromptBlocks = 512;

// Returns the hashes of the prompt's prefixes, one for each complete block. Each hash is the XXH64 of the
// block with the hash of the preceding prefix as seed (0 for the first block), so that equal hashes
// mean equal prefixes. Engines publish the same hashes in their cache events.
std::vector<std::uint64_t> promptBlockHashes(std::string_view prompt);

}
