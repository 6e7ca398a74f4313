#include "Evacuation/ZoneEvacuations.h"

#include "Core/ManualClock.h"
#include "Core/Random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

struct Change {
    std::string zone;
    bool isEvacuated { false };
    bool isFromPeer { false };
};

// One entry's knowledge of the evacuations.
struct Fixture {
    std::vector<Change> changes;
    ManualClock clock;
    ZoneEvacuations evacuations { clock, {}, [this](const std::string& zone, bool isEvacuated, const EvacuationPosition&, bool isFromPeer) { changes.push_back({ zone, isEvacuated, isFromPeer }); } };

    void read(EvacuationPosition position, const std::vector<std::string>& zones)
    {
        EvacuationUpdate update { position, true, {} };
        for (const std::string& zone : zones)
            update.rows.push_back({ zone, false });
        evacuations.apply(update);
    }
};

}

// Guards against an evacuation that is missed, or that does not end when its row is removed.
TEST_CASE("rows start and end evacuations, each reported once")
{
    Fixture fixture;
    fixture.read({ 1, 10 }, {});
    CHECK(fixture.evacuations.isKnown());
    fixture.evacuations.apply({ { 1, 12 }, false, { { "a", false }, { "b", false } } });
    fixture.evacuations.apply({ { 1, 13 }, false, { { "a", false } } });
    CHECK(fixture.evacuations.isEvacuated("a"));
    CHECK(fixture.evacuations.isEvacuated("b"));
    CHECK(!fixture.evacuations.isEvacuated("c"));
    fixture.evacuations.apply({ { 1, 14 }, false, { { "a", true } } });
    CHECK(!fixture.evacuations.isEvacuated("a"));
    CHECK(fixture.evacuations.isEvacuated("b"));
    fixture.read({ 1, 15 }, {});
    CHECK(!fixture.evacuations.isEvacuated("b"));
    CHECK(fixture.changes.size() == 4);
}

// Guards against an answer or a message that was delayed and undoes what is known by then.
TEST_CASE("knowledge as of an earlier position changes nothing")
{
    Fixture fixture;
    fixture.read({ 1, 10 }, { "a" });
    fixture.read({ 1, 9 }, {});
    fixture.evacuations.applyPeer({ true, { 1, 10 }, {} });
    fixture.evacuations.applyPeer({ true, { 0, 99 }, {} });
    fixture.evacuations.applyPeer({ false, { 2, 99 }, {} });
    CHECK(fixture.evacuations.isEvacuated("a"));
    fixture.evacuations.applyPeer({ true, { 1, 11 }, { "b" } });
    CHECK(!fixture.evacuations.isEvacuated("a"));
    CHECK(fixture.evacuations.isEvacuated("b"));
    CHECK(fixture.changes.back().isFromPeer);
}

// Guards against an entry that serves an evacuated zone after its start because it takes no knowledge for no evacuation.
TEST_CASE("nothing is known before the first answer of the store or the knowledge of a peer")
{
    Fixture fixture;
    CHECK(!fixture.evacuations.isKnown());
    CHECK(!fixture.evacuations.knowledge().isKnown);
    fixture.evacuations.applyPeer({ true, { 0, 0 }, { "a" } });
    CHECK(fixture.evacuations.isKnown());
    CHECK(fixture.evacuations.isEvacuated("a"));
}

// Guards against an evacuation that ends because the store was restored from a copy from before its row was written.
TEST_CASE("a new generation of the store ends an evacuation only after the lifetime of the copy")
{
    Fixture fixture;
    fixture.read({ 1, 50 }, { "a", "b" });
    fixture.read({ 2, 20 }, {});
    CHECK(fixture.evacuations.isEvacuated("a"));
    fixture.evacuations.apply({ { 2, 22 }, false, { { "a", false } } });
    fixture.clock.advance(std::chrono::seconds(9));
    fixture.read({ 2, 25 }, { "a" });
    CHECK(fixture.evacuations.isEvacuated("b"));
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.evacuations.apply({ { 2, 26 }, false, {} });
    CHECK(fixture.evacuations.isEvacuated("a"));
    CHECK(!fixture.evacuations.isEvacuated("b"));
    fixture.evacuations.apply({ { 2, 27 }, false, { { "a", true } } });
    CHECK(!fixture.evacuations.isEvacuated("a"));
}

// Guards against entries that disagree for good: whatever is lost, delayed, repeated or reordered between them, an entry knows
// the evacuations as of its position.
TEST_CASE("entries that exchange their knowledge agree with the store as of their positions")
{
    bool holds = rc::check([] {
        constexpr std::size_t entryCount = 4;
        constexpr std::size_t steps = 200;
        Random random(*rc::gen::arbitrary<std::uint32_t>());
        std::vector<std::unique_ptr<Fixture>> entries;
        for (std::size_t i = 0; i < entryCount; ++i)
            entries.push_back(std::make_unique<Fixture>());
        std::vector<std::uint64_t> watched(entryCount, 0);
        std::vector<std::set<std::string>> history { {} };
        std::vector<EvacuationKnowledge> messages;
        for (std::size_t step = 0; step < steps; ++step) {
            std::size_t index = random.index(entryCount);
            Fixture& entry = *entries[index];
            switch (random.index(6)) {
            case 0: {
                std::set<std::string> next = history.back();
                std::string zone(1, static_cast<char>('a' + random.index(3)));
                if (next.erase(zone) == 0)
                    next.insert(zone);
                history.push_back(next);
                break;
            }
            case 1: {
                // A read may return an older state.
                std::size_t revision = history.size() - 1 - random.index(std::min<std::size_t>(3, history.size()));
                entry.read({ 0, revision + 1 }, { history[revision].begin(), history[revision].end() });
                watched[index] = std::max<std::uint64_t>(watched[index], revision + 1);
                break;
            }
            case 2: {
                if (watched[index] == 0)
                    break;
                EvacuationUpdate update { { 0, history.size() }, false, {} };
                for (std::string zone : { "a", "b", "c" }) {
                    bool hasChanged = false;
                    for (std::size_t revision = watched[index]; revision < history.size(); ++revision)
                        hasChanged = hasChanged || history[revision].count(zone) != history[revision - 1].count(zone);
                    if (hasChanged)
                        update.rows.push_back({ zone, history.back().count(zone) == 0 });
                }
                entry.evacuations.apply(update);
                watched[index] = history.size();
                break;
            }
            case 3:
                messages.push_back(entry.evacuations.knowledge());
                break;
            case 4:
                // A late message; it may arrive several times.
                if (!messages.empty())
                    entry.evacuations.applyPeer(messages[random.index(messages.size())]);
                break;
            default:
                // The process restarts.
                if (random.index(8) == 0) {
                    entries[index] = std::make_unique<Fixture>();
                    watched[index] = 0;
                }
            }
            EvacuationKnowledge known = entries[index]->evacuations.knowledge();
            if (known.isKnown) {
                const std::set<std::string>& expected = history[known.position.revision - 1];
                RC_ASSERT(std::set<std::string>(known.zones.begin(), known.zones.end()) == expected);
            }
        }
    });
    CHECK(holds);
}

}
