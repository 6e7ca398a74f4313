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

// Guards against equal hashes for prompts that only share a later block.
TEST_CASE("block hashes depend on the whole prefix")
{
    std::string first(promptBlockBytes, 'a');
    std::string second(promptBlockBytes, 'b');
    std::vector<std::uint64_t> hashes = promptBlockHashes(first + second + "rest");
    CHECK(hashes.size() == 2);
    CHECK(promptBlockHashes(first + first)[0] == hashes[0]);
    CHECK(promptBlockHashes(second + second)[1] != hashes[1]);
}

// Guards against hits expected of blocks whose eviction was in a lost event.
TEST_CASE("a gap discards what is known of that engine only")
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

// Guards against late copies of events that undo newer ones.
TEST_CASE("repeated events are ignored")
{
    PrefixCacheIndex index(100);
    index.apply("one", stored(1, { 1 }));
    std::vector<CacheEvent> evicted { { 2, CacheEventKind::Evicted, 1 } };
    index.apply("one", evicted);
    index.apply("one", stored(1, { 1 }));
    CHECK(index.knownBlocks("one") == 0);
}

// Guards against unbounded memory, and against any hit that the engine's events do not support.
TEST_CASE("the index claims only blocks that a gapless suffix of events supports")
{
    bool isHeld = rc::check([] {
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
    CHECK(isHeld);
}

}
