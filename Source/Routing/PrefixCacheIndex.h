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
// Built from cache events that are late and have gaps. A gap discards what is known of that engine,
// because an eviction may be among the missing events.
class PrefixCacheIndex {
public:
    // Keeps the newest blocks of each engine up to the limit.
    explicit PrefixCacheIndex(std::size_t maximumBlocksPerServer);

    void apply(std::string_view server, gsl::span<const CacheEvent> events);
    // The engine was restarted or its link was lost; its next events may have any sequence number.
    void discard(std::string_view server);

    // Returns how many leading blocks of the prefix the engine is expected to have.
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
