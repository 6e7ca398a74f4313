#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

// Reports that the block at the end of a prefix was stored or evicted.
struct PrefixCacheEvent {
    std::uint64_t sequence { 0 };
    bool isStored { false };
    // The hash of the prefix.
    std::uint64_t prefix { 0 };
};

struct PrefixCacheOptions {
    std::size_t maxBlocks { 4096 };
    // Delay until an event is delivered.
    Duration eventLag { 0 };
    // Events whose sequence numbers are multiples of this are never delivered. 0 delivers all events.
    std::uint64_t eventGapEvery { 0 };
};

// A simulated KV cache of prompt blocks with least-recently-used eviction.
class PrefixCache {
public:
    static constexpr std::size_t blockBytes = 256;

    explicit PrefixCache(const PrefixCacheOptions& options);

    // Returns the hash of each prefix that consists of full blocks: XXH64 of the last block, seeded with the hash of the
    // prefix before it, or with 0 for the first block.
    static std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

    // Stores the full blocks of the prompt, up to maxBlocks, and returns how many leading blocks were already cached.
    std::size_t use(TimePoint now, std::string_view prompt);

    // Returns the events with a higher sequence number that are due for delivery at this time.
    std::vector<PrefixCacheEvent> eventsAfter(TimePoint now, std::uint64_t sequence) const;

private:
    struct RecordedEvent {
        TimePoint time;
        PrefixCacheEvent event;
    };

    void touchAll(const std::vector<std::uint64_t>& prefixes);
    void store(TimePoint now, std::uint64_t prefix);
    void evictOldest(TimePoint now);
    void record(TimePoint now, bool isStored, std::uint64_t prefix);

    PrefixCacheOptions options_;
    // Prefix hashes, most recently used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
    std::deque<RecordedEvent> events_;
    std::uint64_t lastSequence_ { 0 };
};

}
