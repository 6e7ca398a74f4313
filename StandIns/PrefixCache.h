#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

struct PrefixCacheEvent {
    std::uint64_t sequence { 0 };
    bool isStored { false };
    std::uint64_t prefix { 0 };
};

struct PrefixCacheOptions {
    std::size_t maxBlocks { 4096 };
    // Events are delivered this much later.
    Duration eventLag { 0 };
    // Each event whose sequence number is a multiple of this is not delivered; 0 delivers all.
    std::uint64_t eventGapEvery { 0 };
};

// The prompt blocks whose KV cache an engine holds, least recently used first out.
class PrefixCache {
public:
    static constexpr std::size_t blockBytes = 256;

    explicit PrefixCache(const PrefixCacheOptions& options);

    // Returns the hash of each prefix of full blocks: XXH64 of the block, seeded with the hash before it, first 0.
    static std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

    // Stores all full blocks of the prompt and returns how many leading ones were cached before.
    std::size_t use(TimePoint now, std::string_view prompt);

    // Returns the delivered events with a higher sequence number.
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
    // The most recently used prefix is in front.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
    std::deque<RecordedEvent> events_;
    std::uint64_t lastSequence_ { 0 };
};

}
