#include "PrefixAffinity/PrefixIndex.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <vector>

namespace Damaskgrade {

namespace {

using Prompt = std::vector<PromptSegment>;

constexpr std::chrono::seconds retention { 8 };

struct Fixture {
    explicit Fixture(Duration longestRetention = retention, std::size_t maxEntries = 4096)
        : index(clock, { maxEntries, longestRetention })
    {
        server.id = "a";
        server.startedAt = 1;
    }

    void complete(const Prompt& prompt)
    {
        index.recordSend(server, prompt);
        index.recordFirstEvent(server, prompt);
        index.recordEnd(server, prompt);
    }

    double likelihood(const Prompt& prompt, double pressure = 0) const
    {
        std::vector<HeldPart> parts = index.held(server, prompt, pressure);
        return parts.size() == prompt.size() ? parts.back().likelihood : 0;
    }

    ManualClock clock;
    ServerRecord server;
    PrefixIndex index;
};

}

// Guards against savings that are expected from parts without those before them, which no server can use.
TEST_CASE("only the leading parts that were sent are held")
{
    Fixture fixture;
    fixture.complete({ { 1, 100 }, { 2, 50 }, { 3, 10 } });
    std::vector<HeldPart> parts = fixture.index.held(fixture.server, Prompt { { 1, 100 }, { 2, 50 }, { 4, 10 } }, 0);
    REQUIRE(parts.size() == 2);
    CHECK(parts[1].tokens == 50);
    CHECK(parts[1].likelihood == 1);
    CHECK(fixture.index.held(fixture.server, Prompt { { 2, 50 } }, 0).empty());
    CHECK(fixture.index.held(fixture.server, Prompt { { 2, 50 }, { 1, 100 } }, 0).empty());
    ServerRecord other = fixture.server;
    other.id = "b";
    CHECK(fixture.index.held(other, Prompt { { 1, 100 } }, 0).empty());
}

// Guards against requests that are drawn to a server which has lost its memory.
TEST_CASE("a new start of the server has nothing")
{
    Fixture fixture;
    Prompt prompt { { 1, 100 } };
    fixture.complete(prompt);
    CHECK(fixture.likelihood(prompt) == 1);
    fixture.server.startedAt = 2;
    CHECK(fixture.likelihood(prompt) == 0);
    fixture.server.startedAt = 1;
    fixture.server.address.port = 1;
    CHECK(fixture.likelihood(prompt) == 0);
}

// Guards against prefixes that are believed to be held after the server has dropped them.
TEST_CASE("prefixes are forgotten with age and by memory pressure, but not while requests with them run")
{
    Fixture fixture;
    Prompt prompt { { 1, 100 } };
    fixture.complete(prompt);
    fixture.clock.advance(retention / 2);
    CHECK(fixture.likelihood(prompt) == 1);
    CHECK(fixture.likelihood(prompt, 0.25) == 0.75);
    fixture.clock.advance(retention / 4);
    CHECK(fixture.likelihood(prompt) == doctest::Approx(0.5));
    fixture.clock.advance(retention / 4);
    CHECK(fixture.likelihood(prompt) == 0);

    fixture.complete(prompt);
    fixture.index.recordPressure(fixture.server, 0.5);
    CHECK(fixture.likelihood(prompt) == 1);
    fixture.index.recordPressure(fixture.server, 0.95);
    CHECK(fixture.likelihood(prompt) == 0);

    fixture.clock.advance(std::chrono::seconds(1));
    fixture.index.recordSend(fixture.server, prompt);
    // What was evicted has to be read again.
    CHECK(fixture.likelihood(prompt) == 0.5);
    fixture.index.recordFirstEvent(fixture.server, prompt);
    fixture.index.recordPressure(fixture.server, 1);
    fixture.clock.advance(2 * retention);
    CHECK(fixture.likelihood(prompt, 1) == 1);
}

// Guards against savings that are expected where nothing is retained, and from prompts that no server has read.
TEST_CASE("without retention, and without a first event, a prefix ends with the last request that has it")
{
    Fixture fixture(Duration::zero());
    Prompt prompt { { 1, 100 } };
    fixture.index.recordSend(fixture.server, prompt);
    fixture.index.recordSend(fixture.server, prompt);
    CHECK(fixture.likelihood(prompt) == 0.5);
    fixture.index.recordFirstEvent(fixture.server, prompt);
    fixture.index.recordEnd(fixture.server, prompt);
    CHECK(fixture.likelihood(prompt) == 1);
    fixture.index.recordEnd(fixture.server, prompt);
    CHECK(fixture.likelihood(prompt) == 0);
    CHECK(fixture.index.entryCount() == 0);
    fixture.index.recordEnd(fixture.server, prompt);
    CHECK(fixture.index.entryCount() == 0);

    Fixture failed;
    failed.index.recordSend(failed.server, prompt);
    failed.index.recordEnd(failed.server, prompt);
    CHECK(failed.likelihood(prompt) == 0);
}

// Guards against memory that grows with the number of different prompts, against a popular prefix that rare ones evict, and against new
// ones that replace each other.
TEST_CASE("a million parts stay within the memory of the table, and what is used stays in it")
{
    constexpr std::size_t entries = 1U << 16U;
    Fixture fixture(retention, entries);
    Prompt popular { { 1, 100 } };
    for (PromptPart part = 2; part < 1000000; ++part) {
        fixture.complete({ { part, 10 } });
        if (part % 1000 == 0)
            fixture.complete(popular);
        fixture.clock.advance(std::chrono::nanoseconds(1));
    }
    CHECK(fixture.index.memoryBytes() == entries * 24);
    CHECK(fixture.index.entryCount() <= entries);
    CHECK(fixture.index.evictionCount() >= 1000000 - 2 - entries);
    CHECK(fixture.likelihood(popular) == 1);
    // Of the last eighth of a table of new parts, next to none has been replaced.
    constexpr PromptPart recent = entries / 8;
    std::size_t heldCount = 0;
    for (PromptPart part = 1000000 - recent; part < 1000000; ++part)
        heldCount += fixture.likelihood({ { part, 10 } }) > 0 ? 1 : 0;
    CHECK(heldCount >= recent - recent / 100);
}

}
