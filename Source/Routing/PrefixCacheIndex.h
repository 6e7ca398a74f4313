#pragma once

#include "Calls/CallMessages.h"

#include <cstdint>
#include <gsl/span>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Damaskgrade {

// Estimates which prompt prefixes each model engine has in its cache.
// The index is built from cache events, which can be delayed or lost. After a gap in the sequence numbers all blocks
// of the engine are discarded, because an eviction may be among the lost events.
class PrefixCacheIndex {
public:
    // Keeps at most this many blocks for each engine and evicts the oldest ones.
    explicit PrefixCacheIndex(std::size_t maximumBlocksPerServer);

    void apply(std::string_view server, gsl::span<const CacheEvent> events);
    // Discards the blocks of an engine that was restarted or whose link was lost. Its next event may have any sequence
    // number.
    void discard(std::string_view server);

    // Returns how many leading blocks of the prefix the engine is expected to have in its cache.
    std::size_t hitBlocks(std::string_view server, gsl::span<const std::uint64_t> prefix) const;
    std::size_t knownBlocks(std::string_view server) const;
    std::uint64_t gapCount() const { return gapCount_; }

private:
    struct ServerBlocks {
        bool hasSequence { false };
        std::uint64_t nextSequence { 0 };
        // Newest first.
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
    };

    void applyEvent(ServerBlocks& blocks, const CacheEvent& event);
    void store(ServerBlocks& blocks, std::uint64_t hash);
    static void evict(ServerBlocks& blocks, std::uint64_t hash);

    std::size_t maximumBlocks_;
    std::uint64_t gapCount_ { 0 };
    std::map<std::string, ServerBlocks, std::less<>> servers_;
};

}
