#include "Routing/PrefixCacheIndex.h"
#include "Core/Random.h"
#include "Routing/PromptBlocks.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

namespace Damaskgrade {

namespace {

std::vector<CacheEvent> stored(std::uint64_t firstSequence, const std::vector<std::uint64_t>& hashes)
{
    std::vector<CacheEvent> events;
    events.reserve(hashes.size());
    for (std::uint64_t hash : hashes)
        events.push_back({ firstSequence++, CacheEventKind::Stored, hash });
    return events;
}

}

// Guards against equal hashes for prompts that only have a later block in common.
TEST_CASE("block hashes depend on the complete prefix")
{
    std::string first(promptBlockBytes, 'a');
    std::string second(promptBlockBytes, 'b');
    std::vector<std::uint64_t> hashes = promptBlockHashes(first + second + "rest");
    CHECK(hashes.size() == 2);
    CHECK(promptBlockHashes(first + first)[0] == hashes[0]);
    CHECK(promptBlockHashes(second + second)[1] != hashes[1]);
}

// Guards against expecting hits for blocks whose eviction event was lost.
TEST_CASE("a gap in the events discards the blocks of that engine only")
{
    PrefixCacheIndex index(100);
    std::vector<std::uint64_t> prefix { 1, 2, 3 };
    index.apply("one", stored(1, prefix));
    index.apply("two", stored(1, prefix));
    index.apply("one", stored(5, { 9 }));
    CHECK(index.hitBlocks("one", prefix) == 0);
    CHECK(index.knownBlocks("one") == 1);
    CHECK(index.hitBlocks("two", prefix) == 3);
    CHECK(index.gapCount() == 1);
}

// Guards against duplicates of old events that revert newer ones.
TEST_CASE("duplicate events are ignored")
{
    PrefixCacheIndex index(100);
    index.apply("one", stored(1, { 1 }));
    std::vector<CacheEvent> evicted { { 2, CacheEventKind::Evicted, 1 } };
    index.apply("one", evicted);
    index.apply("one", stored(1, { 1 }));
    CHECK(index.knownBlocks("one") == 0);
}

// Guards against unbounded memory, and against blocks in the index that do not follow from the engine's events.
TEST_CASE("the index contains only blocks that follow from the events since the last gap")
{
    bool propertyHolds = rc::check([] {
        constexpr std::size_t limit = 8;
        PrefixCacheIndex index(limit);
        std::set<std::uint64_t> held;
        std::uint64_t sequence = 1;
        int count = *rc::gen::inRange(1, 120);
        for (int i = 0; i < count; ++i) {
            bool isLost = i > 0 && *rc::gen::inRange(0, 10) == 0;
            std::uint64_t hash = *rc::gen::inRange<std::uint64_t>(0, 16);
            CacheEventKind kind = *rc::gen::element(CacheEventKind::Stored, CacheEventKind::Evicted);
            if (isLost) {
                ++sequence;
                held.clear();
            }
            std::vector<CacheEvent> events { { sequence++, kind, hash } };
            index.apply("one", events);
            if (kind == CacheEventKind::Stored)
                held.insert(hash);
            else
                held.erase(hash);
            RC_ASSERT(index.knownBlocks("one") <= limit);
            for (std::uint64_t block = 0; block < 16; ++block) {
                std::vector<std::uint64_t> prefix { block };
                RC_ASSERT(index.hitBlocks("one", prefix) <= held.count(block));
            }
        }
    });
    CHECK(propertyHolds);
}

}
