#include "CatalogSimulation.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t today = 4;
constexpr std::size_t target = 340;

}

// Guards against calls that were lost in an outage and are waited for after it.
TEST_CASE("changes that are acknowledged when a silent store returns are in force in time")
{
    for (milliseconds outage { 200 }; outage <= seconds(13); outage += milliseconds(100)) {
        CatalogSimulation simulation(today);
        simulation.store.callTimeout = outage.count() % 200 == 0 ? milliseconds(900) : milliseconds(60000);
        simulation.write();
        simulation.run(milliseconds(50));
        simulation.store.setSilent(true);
        simulation.run(outage);
        simulation.store.setSilent(false);
        for (milliseconds pause : { milliseconds(0), milliseconds(300), milliseconds(500), milliseconds(6000) }) {
            simulation.run(pause);
            simulation.write();
        }
        simulation.run(seconds(3));
        CHECK_MESSAGE(simulation.firstViolation() == "", "outage of " << outage.count() << " ms");
    }
}

// Guards against entries that go on relying on a peer which no longer reads the store.
TEST_CASE("a change is in force in time when the entry that watches the store is paused, cut off or has no link to a peer")
{
    for (milliseconds before { 0 }; before <= seconds(2); before += milliseconds(50)) {
        CatalogSimulation paused(today);
        paused.run(before);
        paused.setPaused(0, true);
        paused.excused = { 0 };
        paused.write();
        paused.run(seconds(5));
        paused.setPaused(0, false);
        paused.run(seconds(3));
        paused.excused.clear();
        paused.write();
        paused.run(seconds(3));
        CHECK_MESSAGE(paused.firstViolation() == "", "paused after " << before.count() << " ms");
        CatalogSimulation cut(today);
        cut.run(before);
        cut.store.cutEntries = { 0 };
        for (int change = 0; change < 20; ++change) {
            cut.write();
            cut.run(milliseconds(350));
        }
        cut.write();
        cut.run(milliseconds(100));
        CHECK_MESSAGE(cut.versionOf(1) == cut.store.version(), "no other entry watches the store, cut off after " << before.count() << " ms");
        CHECK_MESSAGE(cut.firstViolation() == "", "cut off after " << before.count() << " ms");
        CatalogSimulation apart(today);
        apart.run(before);
        apart.cutLinks = { { 0, 2 }, { 2, 0 } };
        apart.write();
        apart.run(seconds(4));
        CHECK_MESSAGE(apart.firstViolation() == "", "without a link after " << before.count() << " ms");
    }
}

// Guards against a statement that is believed to be as new as the moment of its arrival.
TEST_CASE("a late state of a peer does not confirm an older catalog")
{
    for (milliseconds late { 200 }; late <= seconds(8); late += milliseconds(200)) {
        CatalogSimulation simulation(today);
        simulation.stateLatency = late;
        for (int change = 0; change < 8; ++change) {
            simulation.run(milliseconds(700));
            simulation.write();
        }
        simulation.run(seconds(5));
        CHECK_MESSAGE(simulation.firstViolation() == "", "states " << late.count() << " ms late");
    }
}

// Guards against entries that keep a position of a lost history because they were not there when it was lost.
TEST_CASE("entries that pause, are cut off or start while the store loses writes have the next changes in force in time")
{
    for (std::size_t absent = 0; absent < 2; ++absent) {
        for (int losses = 1; losses <= 2; ++losses) {
            CatalogSimulation simulation(today);
            for (int i = 0; i < 6; ++i)
                simulation.store.writeOther();
            simulation.write();
            simulation.run(seconds(1));
            simulation.setPaused(absent, true);
            simulation.store.cutEntries = { 3 };
            simulation.excused = { absent, 3 };
            for (int loss = 0; loss < losses; ++loss) {
                simulation.store.restore(seconds(4));
                simulation.run(milliseconds(100));
                simulation.store.writeAgain();
                simulation.run(milliseconds(900));
            }
            simulation.excused.insert(2);
            simulation.restart(2);
            simulation.run(milliseconds(500));
            simulation.setPaused(absent, false);
            simulation.run(seconds(1));
            CHECK(simulation.versionOf(2) == simulation.store.version());
            simulation.excused = {};
            for (int change = 0; change < 8; ++change) {
                simulation.write();
                simulation.run(milliseconds(600));
            }
            simulation.store.cutEntries = {};
            simulation.run(seconds(3));
            CHECK_MESSAGE(simulation.firstViolation() == "", "entry " << absent << " is absent while the store loses writes " << losses << " times");
        }
    }
}

// Guards against entries that go back to the version of an old copy, or that a new start with that version replaces theirs.
TEST_CASE("the newest acknowledged version stays in force while the store contains an older copy")
{
    CatalogSimulation simulation(today);
    simulation.run(seconds(1));
    simulation.write();
    simulation.run(seconds(1));
    simulation.store.restore(seconds(3));
    REQUIRE(simulation.store.catalogInStore() < simulation.store.version());
    simulation.run(seconds(1));
    simulation.restart(0);
    simulation.run(seconds(5));
    for (std::size_t entry = 0; entry < today; ++entry)
        CHECK(simulation.versionOf(entry) == simulation.store.version());
}

// Guards against a loop of refused calls, and against missed changes, with a store that does not state generations.
TEST_CASE("a position that the store does not have is replaced without a generation")
{
    CatalogSimulation simulation(today);
    simulation.store.statesGeneration = false;
    for (int i = 0; i < 10; ++i)
        simulation.store.writeOther();
    simulation.write();
    simulation.run(seconds(1));
    simulation.store.restore(seconds(3));
    simulation.store.writeAgain();
    simulation.run(seconds(4));
    CHECK(simulation.store.refusedPositions() <= today);
    for (int change = 0; change < 12; ++change) {
        simulation.write();
        simulation.run(milliseconds(500));
    }
    simulation.run(seconds(3));
    CHECK(simulation.firstViolation() == "");
}

// Guards against combinations of faults that each of the tests above leaves out.
TEST_CASE("changes are in force in time after random faults")
{
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Random random(seed);
        CatalogSimulation simulation(2 + random.index(5), seed);
        for (int fault = 0; fault < 4; ++fault) {
            simulation.store.latency = milliseconds(1 + random.index(150));
            simulation.store.setSilent(random.index(2) == 0);
            if (random.index(3) == 0)
                simulation.store.cutEntries.insert(random.index(2));
            std::size_t paused = random.index(2);
            simulation.excused = { 0, 1, 2, 3, 4, 5, 6 };
            simulation.setPaused(paused, true);
            simulation.run(milliseconds(random.index(6000)));
            if (random.index(3) == 0)
                simulation.store.restore(milliseconds(random.index(9000)));
            for (std::size_t i = random.index(12); i > 0; --i)
                simulation.store.writeOther();
            if (random.index(2) == 0)
                simulation.write();
            simulation.store.setSilent(false);
            simulation.run(milliseconds(random.index(1000)));
            simulation.store.writeAgain();
            simulation.store.cutEntries.clear();
            if (random.index(3) == 0)
                simulation.restart(random.index(2));
            simulation.store.latency = milliseconds(2);
            simulation.setPaused(paused, false);
            simulation.run(seconds(3));
            simulation.excused.clear();
            for (int change = 0; change < 3; ++change) {
                simulation.write();
                simulation.run(milliseconds(random.index(1500)));
            }
        }
        simulation.run(seconds(3));
        CHECK_MESSAGE(simulation.firstViolation() == "", "seed " << seed);
    }
}

// Guards against a position in a history that the store has lost: a change that gets this position is taken for known.
TEST_CASE("changes are in force in time after the store has lost its last writes")
{
    for (int lostWrites = 0; lostWrites <= 12; ++lostWrites) {
        for (int laterWrites = 0; laterWrites <= 14; ++laterWrites) {
            CatalogSimulation simulation(today);
            simulation.run(seconds(2));
            for (int i = 0; i < lostWrites; ++i) {
                simulation.run(milliseconds(100));
                simulation.store.writeOther();
            }
            simulation.write();
            simulation.run(seconds(1));
            bool isAway = laterWrites % 3 != 0;
            simulation.store.setSilent(isAway);
            simulation.run(isAway ? seconds(2) : seconds(0));
            simulation.store.restore(milliseconds(lostWrites * 100 + (isAway ? 4000 : 2000)));
            simulation.store.setSilent(false);
            simulation.run(milliseconds(20));
            simulation.store.writeAgain();
            simulation.run(isAway ? seconds(2) : seconds(0));
            for (int i = 0; i < laterWrites; ++i) {
                simulation.store.writeOther();
                simulation.run(milliseconds(laterWrites % 2 == 0 ? 10 : 300));
            }
            std::uint64_t calls = simulation.store.calls();
            simulation.write();
            simulation.run(seconds(3));
            CHECK_MESSAGE(simulation.firstViolation() == "", lostWrites << " other writes are lost, " << laterWrites << " are made before the next change");
            CHECK_MESSAGE(simulation.store.calls() - calls <= 30, lostWrites << " other writes are lost, " << laterWrites << " are made before the next change");
        }
    }
}

// Guards against calls to the store that grow with the entries, or that an outage multiplies.
TEST_CASE("the calls to the store stay within the rates of the store")
{
    constexpr int calmSeconds = 20;
    // Of the 2,000 reads a second that all clients together may make.
    constexpr std::uint64_t maxReadsPerSecond = 1000;
    for (std::size_t entries : { today, target }) {
        CatalogSimulation simulation(entries);
        std::uint64_t before = simulation.store.calls();
        simulation.run(seconds(calmSeconds));
        std::uint64_t calm = simulation.store.calls() - before;
        simulation.write();
        simulation.run(seconds(2));
        std::uint64_t change = simulation.store.calls() - before - calm;
        simulation.store.setSilent(true);
        simulation.run(seconds(10));
        std::uint64_t outage = simulation.store.calls() - before - calm - change;
        MESSAGE(entries << " entries: " << calm << " calls in " << calmSeconds << " s without a change, " << change << " in 2 s with a change, " << outage << " in 10 s of an outage");
        CHECK(simulation.firstViolation() == "");
        // One long poll of 3 s for each entry, as before.
        CHECK(3 * calm <= calmSeconds * std::max<std::uint64_t>(entries, 4));
        CHECK(change <= 2 * maxReadsPerSecond);
        CHECK(outage <= 10 * maxReadsPerSecond);
    }
}

}
