#include "Routing/PromptBlocks.h"

#include <algorithm>
#include <xxhash.h>

namespace Damaskgrade {

std::vector<std::uint64_t> promptBlockHashes(std::string_view prompt)
{
    std::size_t count = std::min(prompt.size() / promptBlockBytes, maximumPromptBlocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(count);
    std::uint64_t prefix = 0;
    for (std::size_t block = 0; block < count; ++block) {
        prefix = XXH64(prompt.data() + block * promptBlockBytes, promptBlockBytes, prefix);
        hashes.push_back(prefix);
    }
    return hashes;
}

}
