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

// Guards against a crashing part that is missed, or sound parts that are held back in its place, since the prompt has many parts.
TEST_CASE("a crashing part reaches at most three servers in prompts of many parts, which sound requests share")
{
    struct Case {
        std::size_t entries;
        std::size_t partsOfSession;
        std::size_t sessions;
        std::uint64_t seeds;
    };
    // The last ones hold the most parts that the head of a request can have. Without sessions all parts but the first are new.
    for (const Case& prompt : std::vector<Case> { { 1, 2, 40, 5 }, { 4, 66, 1, 5 }, { 4, 66, 40, 5 }, { 17, 66, 40, 3 }, { 4, 66, 0, 5 }, { 1, 1400, 3, 1 }, { 4, 1400, 40, 1 }, { 17, 1400, 0, 1 } }) {
        for (std::uint64_t seed = 1; seed <= prompt.seeds; ++seed) {
            CAPTURE(prompt.entries);
            CAPTURE(prompt.partsOfSession);
            CAPTURE(prompt.sessions);
            CAPTURE(seed);
            QuarantineSimulation simulation(prompt.entries, seed);
            PromptPart lastNew = 10000000;
            simulation.makeParts = [&prompt, &lastNew](Random& random) {
                std::vector<PromptPart> parts { 1 };
                PromptPart firstOfSession = prompt.sessions > 0 ? 10000 * (1 + random.index(prompt.sessions)) : lastNew;
                for (std::size_t i = 0; i < prompt.partsOfSession; ++i)
                    parts.push_back(firstOfSession + i);
                lastNew += prompt.sessions > 0 ? 0 : prompt.partsOfSession;
                return parts;
            };
            simulation.runTraffic(seconds(5), 20, 0);
            simulation.crashingParts = { crashing };
            simulation.runTraffic(seconds(24), 20, 0.1);
            CHECK(simulation.crashes >= 1);
            CHECK(simulation.crashes <= maxCrashesOfPart);
            std::size_t responses = simulation.soundResponses;
            std::size_t requests = simulation.soundRequests;
            simulation.runTraffic(seconds(4), 20, 0.1);
            CHECK(simulation.crashes <= maxCrashesOfPart);
            CHECK((simulation.soundResponses - responses) * 10 >= (simulation.soundRequests - requests) * 9);
        }
    }
}

// Guards against sound parts that stay suspect because they were in use together with the part that crashes servers.
TEST_CASE("the other parts of a crashing prompt are free at all entries once its crashing part is blocked")
{
    ManualClock clock;
    PromptQuarantine left(clock, "a", QuarantineSettings(), nullptr);
    PromptQuarantine right(clock, "b", QuarantineSettings(), nullptr);
    auto crash = [&clock](PromptQuarantine& quarantine, const std::vector<PromptPart>& parts) {
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        quarantine.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, false } });
    };
    auto exchange = [&] {
        right.applyReports(left.nextReports());
        left.applyReports(right.nextReports());
    };
    crash(left, { 1, 2, crashing });
    crash(left, { 7 });
    exchange();
    CHECK(right.isSuspect(std::vector<PromptPart> { 1 }));
    crash(right, { 3, 7, crashing });
    exchange();
    // What the left entry has found only now.
    exchange();
    for (PromptQuarantine* quarantine : { &left, &right }) {
        CHECK(quarantine->isSuspect(std::vector<PromptPart> { crashing }));
        CHECK(!quarantine->isSuspect(std::vector<PromptPart> { 1, 2, 3 }));
        // The blocked part does not explain the second crash.
        CHECK(quarantine->isSuspect(std::vector<PromptPart> { 7 }));
    }
    // A part that is only explained is not taken for sound.
    crash(left, { 2 });
    CHECK(left.isSuspect(std::vector<PromptPart> { 2 }));
}

// Guards against a session whose requests are held back for as long as a part that some of its requests have.
TEST_CASE("a request without one of the parts that have crashed servers together is a probe at once")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    std::vector<PromptPart> session;
    for (PromptPart part = 1; part <= 66; ++part)
        session.push_back(part);
    std::vector<PromptPart> crashingPrompt = session;
    crashingPrompt.push_back(crashing);
    for (int i = 0; i < 2; ++i) {
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        quarantine.recordCrash(std::vector<CrashCandidate> { { crashingPrompt, sentAt, false } });
        CHECK(quarantine.admit(crashingPrompt, 1).decision == QuarantineDecision::Refuse);
        CHECK(quarantine.admit(session, 2).decision == QuarantineDecision::Wait);
        quarantine.release(session, 2);
        clock.advance(seconds(4));
    }
    CHECK(quarantine.admit(session, 3).decision == QuarantineDecision::Wait);
    CHECK(quarantine.admit(session, 4).decision == QuarantineDecision::Refuse);
    clock.advance(milliseconds(500));
    REQUIRE(mayBeSent(quarantine, session, 3));
    quarantine.recordResponse(session);
    CHECK(mayBeSent(quarantine, session, 5));
    CHECK(quarantine.admit(crashingPrompt, 6).decision == QuarantineDecision::Refuse);
}

// Guards against parts that are probed in turn, each with the others as an excuse, and end one server after the other.
TEST_CASE("parts that are always in use together at a crash have an excuse for two crashes only")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    for (int crash = 1; crash <= 3; ++crash) {
        TimePoint sentAt = clock.now();
        clock.advance(milliseconds(100));
        quarantine.recordCrash(std::vector<CrashCandidate> { { { 900, crashing }, sentAt, false } });
        CHECK((quarantine.admit(std::vector<PromptPart> { crashing }, 1).decision == QuarantineDecision::Wait) == (crash < 3));
        quarantine.release(std::vector<PromptPart> { crashing }, 1);
        clock.advance(seconds(4));
    }
}

// Guards against a part that is taken for sound because another one seems to be the cause of its crash, which no second crash shows.
TEST_CASE("a part that is blocked after one crash explains no crash of other requests")
{
    ManualClock clock;
    PromptQuarantine quarantine = makeQuarantine(clock);
    auto crash = [&](std::vector<CrashCandidate> candidates) {
        for (CrashCandidate& candidate : candidates)
            candidate.sentAt = clock.now();
        clock.advance(milliseconds(100));
        quarantine.recordCrash(candidates);
    };
    quarantine.recordResponse(std::vector<PromptPart> { 1 });
    crash({ { { 1, crashing }, {}, true }, { { 2 }, {}, false } });
    // Another part is blocked after two crashes.
    crash({ { { 7 }, {}, false } });
    crash({ { { 7 }, {}, false } });
    CHECK(quarantine.isSuspect(std::vector<PromptPart> { 2 }));
    crash({ { { 3, crashing }, {}, true } });
    CHECK(!quarantine.isSuspect(std::vector<PromptPart> { 2 }));
}

// Guards against a suspect part that the other entries do not learn of, because others of the same prompt are told again and again.
TEST_CASE("all parts of a crash are told before one of them is told again")
{
    ManualClock clock;
    QuarantineSettings settings;
    PromptQuarantine left(clock, "a", settings, nullptr);
    PromptQuarantine right(clock, "b", settings, nullptr);
    std::vector<PromptPart> parts;
    for (PromptPart part = 1; part <= 1400; ++part)
        parts.push_back(part);
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    left.recordCrash(std::vector<CrashCandidate> { { parts, sentAt, true } });
    for (std::size_t told = 0; told < parts.size(); told += settings.maxNewsPerReport) {
        std::vector<SuspectReport> reports = left.nextReports();
        CHECK(reports.size() <= settings.maxNewsPerReport + settings.maxOthersPerReport);
        right.applyReports(reports);
        clock.advance(milliseconds(200));
    }
    CHECK(right.suspectCount() == parts.size());
}

// Guards against a crashing part that is forgotten because the requests beside it have many parts.
TEST_CASE("if a crash has more parts than there are records, those of the request that had begun are kept")
{
    ManualClock clock;
    QuarantineSettings settings;
    PromptQuarantine quarantine(clock, "entry", settings, nullptr);
    TimePoint sentAt = clock.now();
    clock.advance(milliseconds(100));
    std::vector<CrashCandidate> candidates { { { 1, crashing }, sentAt, true } };
    for (PromptPart first = 100000; candidates.size() < 30; first += 1400) {
        CrashCandidate other { {}, sentAt, false };
        for (PromptPart part = first; part < first + 1400; ++part)
            other.parts.push_back(part);
        candidates.push_back(other);
    }
    quarantine.recordCrash(candidates);
    CHECK(quarantine.recordCount() <= settings.maxRecords);
    CHECK(quarantine.isSuspect(std::vector<PromptPart> { crashing }));
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
