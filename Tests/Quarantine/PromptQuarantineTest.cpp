#include "Quarantine/PromptQuarantine.h"

#include "Quarantine/QuarantineSimulation.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PromptPart crashing = 1000;
constexpr milliseconds contactTime { 3000 };
// The target: crashes for one part before all requests with it are kept from the servers.
constexpr std::size_t maxCrashesOfPart = 3;

PromptQuarantine makeQuarantine(const ManualClock& clock)
{
    return PromptQuarantine(clock, "entry", QuarantineSettings(), nullptr);
}

bool mayBeSent(PromptQuarantine& quarantine, std::vector<PromptPart> parts, std::uint64_t requester = 1)
{
    return quarantine.admit(parts, requester).decision == QuarantineDecision::Send;
}

}

// Guards against a prompt part that goes on to crash servers because its requests arrive at different entries.
TEST_CASE("a crashing part that is new reaches at most three servers over all entries")
{
    for (std::size_t entryCount : { 1U, 4U, 17U }) {
        for (std::uint64_t seed = 1; seed <= 15; ++seed) {
            CAPTURE(entryCount);
            CAPTURE(seed);
            QuarantineSimulation simulation(entryCount, seed);
            simulation.runTraffic(seconds(5), 60, 0);
            simulation.crashingParts = { crashing };
            simulation.runTraffic(seconds(24), 60, 0.05);
            CHECK(simulation.crashes >= 1);
            CHECK(simulation.crashes <= maxCrashesOfPart);
            // Only requests with the crashing part are held back for longer than the outages.
            CHECK(simulation.soundRefusedByQuarantine * 20 < simulation.soundRequests);
            std::size_t responses = simulation.soundResponses;
            std::size_t requests = simulation.soundRequests;
            simulation.runTraffic(seconds(4), 60, 0.05);
            CHECK((simulation.soundResponses - responses) * 10 >= (simulation.soundRequests - requests) * 9);
        }
    }
}

// Guards against a part that is trusted for ever because it did no harm before.
TEST_CASE("a part that begins to crash servers after it was sound reaches at most three servers")
{
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        CAPTURE(seed);
        QuarantineSimulation simulation(4, seed);
        for (int i = 0; i < 20; ++i) {
            simulation.request({ 5, crashing });
            simulation.runTraffic(milliseconds(200), 60, 0);
        }
        simulation.crashingParts = { crashing };
        simulation.runTraffic(seconds(25), 60, 0.05);
        CHECK(simulation.crashes <= maxCrashesOfPart);
    }
}

// Guards against evidence of one part that hides another.
TEST_CASE("two crashing parts at once reach at most three servers each")
{
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
        CAPTURE(seed);
        QuarantineSimulation simulation(4, seed);
        simulation.runTraffic(seconds(5), 60, 0);
        simulation.crashingParts = { crashing, crashing + 1 };
        simulation.runTraffic(seconds(28), 60, 0.1);
        for (PromptPart part : simulation.crashingParts)
            CHECK(simulation.crashesOfPart[part] <= maxCrashesOfPart);
    }
}

// Guards against an entry that does not learn what the others know, after its start or after it was cut off.
TEST_CASE("an entry that restarts or returns knows a blocked part within the contact time")
{
    QuarantineSimulation simulation(17, 3);
    simulation.runTraffic(seconds(3), 60, 0);
    simulation.setReachable(5, false);
    simulation.crashingParts = { crashing };
    simulation.requestAt(0, { 1, crashing });
    simulation.run(seconds(4));
    simulation.requestAt(1, { 1, crashing });
    simulation.run(seconds(4));
    std::size_t crashes = simulation.crashes;
    REQUIRE(crashes >= 1);
    simulation.setReachable(5, true);
    simulation.restartEntry(7);
    simulation.run(contactTime);
    CHECK(simulation.isSuspectEverywhere(crashing));
    simulation.runTraffic(seconds(10), 60, 0.05);
    CHECK(simulation.crashes == crashes);
}

// Guards against an entry that probes a part which the entries out of its reach have blocked.
TEST_CASE("an entry without contact to the others sends no probe")
{
    QuarantineSimulation simulation(4, 5);
    simulation.crashingParts = { crashing };
    // Either of two new parts may be the cause, so neither is blocked yet.
    simulation.requestAt(0, { crashing, crashing + 1 });
    simulation.run(seconds(4));
    REQUIRE(simulation.isSuspectEverywhere(crashing));
    simulation.setReachable(3, false);
    for (int i = 0; i < 10; ++i) {
        simulation.requestAt(3, { crashing });
        simulation.run(seconds(1));
    }
    CHECK(simulation.crashes == 1);
    simulation.setReachable(3, true);
    simulation.requestAt(3, { crashing });
    simulation.run(seconds(2));
    CHECK(simulation.crashes == 2);
}

// Guards against a part that stays suspected although it is sound, because its request was at a server that crashed.
TEST_CASE("a wrong suspicion ends at all entries with the first response")
{
    QuarantineSimulation simulation(4, 9);
    constexpr PromptPart rare = 2000;
    std::size_t suspected = 0;
    for (int round = 0; round < 40; ++round) {
        simulation.request({ rare + static_cast<PromptPart>(round) });
        simulation.run(milliseconds(100));
        simulation.crashServer();
        simulation.run(milliseconds(100));
        suspected += simulation.isSuspectEverywhere(rare + static_cast<PromptPart>(round)) ? 1 : 0;
        simulation.run(seconds(4));
        simulation.request({ rare + static_cast<PromptPart>(round) });
        simulation.run(seconds(2));
        CHECK(!simulation.isSuspectAnywhere(rare + static_cast<PromptPart>(round)));
    }
    CHECK(suspected > 0);
}

// Guards against a crashing part that is probed again and again over a long time.
TEST_CASE("at most three requests with a crashing part are sent after its fifth crash, for as long as it is requested")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    std::vector<PromptPart> parts { crashing };
    std::size_t crashes = 0;
    std::uint64_t requester = 0;
    for (Duration passed = Duration::zero(); passed < std::chrono::hours(24 * 30); passed += seconds(5)) {
        clock.advance(seconds(5));
        QuarantineVerdict verdict = quarantine.admit(parts, ++requester);
        if (verdict.decision == QuarantineDecision::Wait) {
            clock.advance(milliseconds(500));
            verdict = quarantine.admit(parts, requester);
        }
        quarantine.nextReports();
        if (verdict.decision != QuarantineDecision::Send)
            continue;
        ++crashes;
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        quarantine.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, false } });
    }
    CHECK(crashes >= 5);
    CHECK(crashes <= 8);
    // A caller of a part that stays blocked still gets a useful time.
    CHECK(quarantine.admit(parts, ++requester).retryAfter <= std::chrono::hours(24));
}

// Guards against a sound part that is blocked for good after a coincidence.
TEST_CASE("a blocked part is probed after its block and is free after a response")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    std::vector<PromptPart> parts { 7 };
    for (int i = 0; i < 2; ++i) {
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        quarantine.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, false } });
    }
    QuarantineVerdict verdict = quarantine.admit(parts, 1);
    CHECK(verdict.decision == QuarantineDecision::Refuse);
    CHECK(verdict.retryAfter == seconds(30));
    clock.advance(seconds(30));
    CHECK(quarantine.admit(parts, 2).decision == QuarantineDecision::Wait);
    // Another request is not sent beside the probe.
    CHECK(quarantine.admit(parts, 3).decision == QuarantineDecision::Refuse);
    clock.advance(milliseconds(500));
    CHECK(mayBeSent(quarantine, parts, 2));
    quarantine.recordResponse(parts);
    CHECK(mayBeSent(quarantine, parts, 4));
}

// Guards against an outage for a probe whose result is known beforehand.
TEST_CASE("a part that alone can be the cause of a crash is blocked without a probe")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    quarantine.recordResponse(std::vector<PromptPart> { 1 });
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    quarantine.recordCrash(std::vector<CrashCandidate> { { { 1, crashing }, sentAt, true }, { { 2 }, sentAt, false } });
    QuarantineVerdict verdict = quarantine.admit(std::vector<PromptPart> { 3, crashing }, 1);
    CHECK(verdict.decision == QuarantineDecision::Refuse);
    CHECK(verdict.retryAfter == seconds(30));
    CHECK(mayBeSent(quarantine, { 1 }));
    CHECK(quarantine.admit(std::vector<PromptPart> { 2 }, 2).decision == QuarantineDecision::Wait);
}

// Guards against a block without a probe of a part that is only one of several possible causes.
TEST_CASE("a part is not blocked by one crash if another request, or another new part, may be the cause")
{
    for (bool isOtherInSameRequest : { true, false }) {
        ManualClock clock;
        PromptQuarantine quarantine = makeQuarantine(clock);
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        if (isOtherInSameRequest)
            quarantine.recordCrash(std::vector<CrashCandidate> { { { 1, crashing }, sentAt, true } });
        else
            quarantine.recordCrash(std::vector<CrashCandidate> { { { 1 }, sentAt, true }, { { crashing }, sentAt, true } });
        CHECK(quarantine.admit(std::vector<PromptPart> { 1 }, 1).decision == QuarantineDecision::Wait);
        clock.advance(milliseconds(500));
        quarantine.recordResponse(std::vector<PromptPart> { 1 });
        // The response leaves one cause of the crash only if it was in the same request.
        CHECK((quarantine.admit(std::vector<PromptPart> { crashing }, 2).decision == QuarantineDecision::Refuse) == isOtherInSameRequest);
    }
}

// Guards against a sound part that is blocked because the entry that saw the crash did not know it.
TEST_CASE("a block without a probe ends when another entry knows the part to be sound")
{
    ManualClock clock;
    PromptQuarantine left(clock, "a", QuarantineSettings(), nullptr);
    PromptQuarantine right(clock, "b", QuarantineSettings(), nullptr);
    right.recordResponse(std::vector<PromptPart> { 7 });
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    left.recordCrash(std::vector<CrashCandidate> { { { 7 }, sentAt, true } });
    CHECK(left.admit(std::vector<PromptPart> { 7 }, 1).decision == QuarantineDecision::Refuse);
    right.applyReports(left.nextReports());
    left.applyReports(right.nextReports());
    CHECK(left.admit(std::vector<PromptPart> { 7 }, 2).decision == QuarantineDecision::Wait);
}

// Guards against a popular part that is held back because it was in use when a server crashed.
TEST_CASE("a part that is known to be sound is not restricted by one crash")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    std::vector<PromptPart> parts { 7 };
    quarantine.recordResponse(parts);
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    quarantine.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, false } });
    CHECK(mayBeSent(quarantine, parts));
    // A second server that crashes at the same moment adds nothing.
    quarantine.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, false } });
    CHECK(mayBeSent(quarantine, parts));
    sentAt = clock.now();
    clock.advance(milliseconds(100));
    quarantine.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, false } });
    CHECK(!mayBeSent(quarantine, parts));
}

// Guards against a sound part that is blocked together with the part that crashes servers.
TEST_CASE("a request with two suspect parts is not a probe while other requests may clear one of them")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    quarantine.recordCrash(std::vector<CrashCandidate> { { { 1, crashing }, sentAt, false } });
    CHECK(quarantine.admit(std::vector<PromptPart> { 1, crashing }, 1).decision == QuarantineDecision::Refuse);
    CHECK(quarantine.admit(std::vector<PromptPart> { 1 }, 2).decision == QuarantineDecision::Wait);
    clock.advance(milliseconds(500));
    CHECK(mayBeSent(quarantine, { 1 }, 2));
    quarantine.recordResponse(std::vector<PromptPart> { 1 });
    CHECK(quarantine.admit(std::vector<PromptPart> { 1, crashing }, 3).decision == QuarantineDecision::Wait);
}

// Guards against a caller that fills the memory, or displaces what is known of a crashing part, with invented parts.
TEST_CASE("records are bounded, and invented parts do not displace a blocked part")
{
    ManualClock clock;
    QuarantineSettings settings;
    PromptQuarantine quarantine(clock, "entry", settings, nullptr);
    for (int i = 0; i < 2; ++i) {
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        quarantine.recordCrash(std::vector<CrashCandidate> { { { crashing }, sentAt, false } });
    }
    for (PromptPart invented = 1; invented <= 20000; ++invented) {
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(1));
        quarantine.recordCrash(std::vector<CrashCandidate> { { { 10000 + invented }, sentAt, false } });
        quarantine.recordResponse(std::vector<PromptPart> { 1000000 + invented });
    }
    CHECK(quarantine.recordCount() <= settings.maxRecords);
    CHECK(!mayBeSent(quarantine, { crashing }));
    CHECK(quarantine.nextReports().size() <= settings.maxNewsPerReport + settings.maxOthersPerReport);
}

// Guards against entries that both send a probe because they claimed it at the same moment.
TEST_CASE("of two claims of a probe the entry with the lower name keeps its claim")
{
    ManualClock clock;
    PromptQuarantine left(clock, "a", QuarantineSettings(), nullptr);
    PromptQuarantine right(clock, "b", QuarantineSettings(), nullptr);
    std::vector<PromptPart> parts { crashing };
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    left.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, false } });
    right.applyReports(left.nextReports());
    CHECK(left.admit(parts, 1).decision == QuarantineDecision::Wait);
    CHECK(right.admit(parts, 2).decision == QuarantineDecision::Wait);
    std::vector<SuspectReport> reports = left.nextReports();
    left.applyReports(right.nextReports());
    right.applyReports(reports);
    clock.advance(milliseconds(500));
    CHECK(left.admit(parts, 1).decision == QuarantineDecision::Send);
    CHECK(right.admit(parts, 2).decision == QuarantineDecision::Refuse);
}

}
