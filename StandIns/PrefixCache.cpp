#include "StandIns/PrefixCache.h"

#include <algorithm>
#include <xxhash.h>

namespace Damaskgrade {

namespace {

// The number of events that are kept. Older events are discarded, which appears to readers as a gap in the sequence.
constexpr std::size_t maxEvents = 10000;

}

PrefixCache::PrefixCache(const PrefixCacheOptions& options)
    : options_(options)
{
}

std::vector<std::uint64_t> PrefixCache::prefixHashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 0;
    while (prompt.size() >= blockBytes) {
        hash = XXH64(prompt.data(), blockBytes, hash);
        hashes.push_back(hash);
        prompt.remove_prefix(blockBytes);
    }
    return hashes;
}

std::size_t PrefixCache::use(TimePoint now, std::string_view prompt)
{
    std::vector<std::uint64_t> hashes = prefixHashes(prompt);
    std::size_t cached = 0;
    while (cached < hashes.size() && positions_.count(hashes[cached]) > 0)
        ++cached;
    hashes.resize(std::min(hashes.size(), options_.maxBlocks));
    // Cached blocks are marked as used before new blocks are stored, so that the new blocks don't evict them.
    touchAll(hashes);
    for (std::uint64_t hash : hashes)
        store(now, hash);
    touchAll(hashes);
    return cached;
}

std::vector<PrefixCacheEvent> PrefixCache::eventsAfter(TimePoint now, std::uint64_t sequence) const
{
    std::vector<PrefixCacheEvent> delivered;
    for (const RecordedEvent& recorded : events_) {
        bool isGap = options_.eventGapEvery != 0 && recorded.event.sequence % options_.eventGapEvery == 0;
        bool isDue = recorded.time + options_.eventLag <= now;
        if (recorded.event.sequence > sequence && isDue && !isGap)
            delivered.push_back(recorded.event);
    }
    return delivered;
}

// Marks the cached prefixes as used, in reverse order, so that the first block is the most recently used one: without
// it the following blocks can't be used.
void PrefixCache::touchAll(const std::vector<std::uint64_t>& prefixes)
{
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        auto position = positions_.find(*prefix);
        if (position != positions_.end())
            order_.splice(order_.begin(), order_, position->second);
    }
}

void PrefixCache::store(TimePoint now, std::uint64_t prefix)
{
    if (positions_.count(prefix) > 0)
        return;
    order_.push_front(prefix);
    positions_[prefix] = order_.begin();
    record(now, true, prefix);
    if (order_.size() > options_.maxBlocks)
        evictOldest(now);
}

void PrefixCache::evictOldest(TimePoint now)
{
    std::uint64_t prefix = order_.back();
    order_.pop_back();
    positions_.erase(prefix);
    record(now, false, prefix);
}

void PrefixCache::record(TimePoint now, bool isStored, std::uint64_t prefix)
{
    events_.push_back({ now, { ++lastSequence_, isStored, prefix } });
    if (events_.size() > maxEvents)
        events_.pop_front();
}

}
