#include "Configuration/ConfigurationSimulation.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t slotCount = 4;
constexpr unsigned onlyFirstMask = 1;
constexpr unsigned firstTwoMask = 3;

// A simulation in which all entries are initialized. ConfigurationOracle throws from any step that
// violates requirement R15.
struct RunningSimulation : ConfigurationSimulation {
    RunningSimulation()
        : ConfigurationSimulation(slotCount, 1)
    {
        advance(seconds(2));
    }
};

std::string reasonOf(ConfigurationSimulation& simulation, std::size_t index, const std::string& id)
{
    return simulation.protocol(index).change(id).reason;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Isolates the first entry together with the table, just after a change by its peers was committed there.
void isolateTableAfterCommit(ConfigurationSimulation& simulation)
{
    simulation.submit(1, "models");
    while (simulation.head().committed == 1)
        simulation.advance(milliseconds(25));
    simulation.partition(onlyFirstMask, true);
}

}

// Guards against entries that don't switch to a committed version, and against a record that does not list
// the entries on which the version is in force.
TEST_CASE("a change comes into force on all entries and lists them")
{
    RunningSimulation simulation;
    std::string id = simulation.submit(1, "models");
    simulation.advance(milliseconds(500));
    CHECK(simulation.stateOf(1, id) == ChangeState::Accepted);
    CHECK(simulation.protocol(1).change(id).inForceOn.size() == slotCount);
    for (std::size_t index = 0; index < slotCount; ++index)
        CHECK(simulation.inForceAt(index) == 2);
}

// An isolated entry can't learn of a new version and must not keep serving the old one.
TEST_CASE("an entry without contact stops admitting work within the lease")
{
    RunningSimulation simulation;
    simulation.partition(onlyFirstMask, false);
    simulation.advance(milliseconds(2500));
    CHECK(!simulation.admits(0));
    CHECK(simulation.admits(1));
}

// Contact with half of the slots is enough evidence, so a failure of the table must stop changes, but not
// admission.
TEST_CASE("all entries keep serving while the table is unavailable")
{
    RunningSimulation simulation;
    simulation.setTable(TableMode::Down);
    simulation.advance(seconds(60));
    for (std::size_t index = 0; index < slotCount; ++index)
        CHECK(simulation.admits(index));
    std::string id = simulation.submit(0, "models");
    CHECK(contains(simulation.submitErrors().at(id), "the table can't be reached"));
}

// A grace period of 2 s that starts when the entry learns of the commit is too long: an entry that
// was disconnected or paused learns of it long after its peers have switched. ConfigurationOracle checks
// in advance() that no entry admits work under the old version more than 7 s after the change.
TEST_CASE("an entry that was disconnected has no grace period left when it returns")
{
    for (bool isPaused : { false, true }) {
        RunningSimulation simulation;
        if (isPaused)
            simulation.pause(0);
        else
            simulation.partition(onlyFirstMask, false);
        simulation.advance(seconds(3));
        simulation.submit(1, "models");
        simulation.advance(seconds(9));
        simulation.clearFaults();
        simulation.setNetwork({ milliseconds(500), 0, 0 });
        simulation.setTable(TableMode::Slow);
        simulation.advance(seconds(5));
        CHECK(simulation.inForceAt(0) == 2);
    }
}

// Responses that were in transit while the entry was paused must not count as fresh. ConfigurationOracle
// checks in advance() that no entry admits work under the old version more than 7 s after the change.
TEST_CASE("responses to requests from before a pause are no evidence")
{
    constexpr int steps = 44;
    for (int offset = 0; offset < steps; ++offset) {
        RunningSimulation simulation;
        simulation.advance(offset * milliseconds(25));
        simulation.pause(0);
        // Only gossip responses reach the entry; other messages would inform it of the change.
        simulation.setFilter([](const std::string& to, const Frame& frame) { return to != "entry-1" || frame.type == GossipMessage::type; });
        simulation.advance(seconds(3));
        simulation.submit(1, "models");
        simulation.advance(seconds(9));
        REQUIRE(simulation.inForceAt(1) == 2);
        simulation.partition(onlyFirstMask, false);
        simulation.resume(0);
        simulation.advance(seconds(1));
    }
}

// An entry that has learned of a commit must not keep serving the previous version.
TEST_CASE("an entry that can't switch stops admitting work although it reads the table")
{
    RunningSimulation simulation;
    isolateTableAfterCommit(simulation);
    simulation.advance(seconds(10));
    CHECK(simulation.inForceAt(1) == 2);
    CHECK(simulation.inForceAt(0) == 1);
    CHECK(!simulation.admits(0));
}

// A second change must not be committed while the previous one is not in force yet.
TEST_CASE("a change waits until the previous change is in force")
{
    RunningSimulation simulation;
    isolateTableAfterCommit(simulation);
    simulation.advance(seconds(4));
    std::string id = simulation.submit(0, "customers");
    CHECK(simulation.stateOf(0, id) == ChangeState::Proposed);
    simulation.advance(seconds(8));
    CHECK(contains(reasonOf(simulation, 0, id), "the previous version is not in force yet"));
}

// A restarted entry has lost the versions that it had learned. It must not count towards the half of the
// slots that provide evidence.
TEST_CASE("an entry that has not read the table since its start is no evidence")
{
    RunningSimulation simulation;
    simulation.partition(onlyFirstMask, false);
    simulation.advance(seconds(3));
    simulation.submit(1, "models");
    simulation.advance(seconds(3));
    simulation.setTable(TableMode::Down);
    simulation.kill(1);
    simulation.start(1);
    simulation.partition(firstTwoMask, false);
    simulation.advance(seconds(9));
    CHECK(!simulation.admits(0));
    CHECK(!simulation.admits(1));
    CHECK(simulation.admits(2));
}

// Any half of the slots must include one that knows the committed version, so a minority must not commit.
TEST_CASE("a change needs a majority of the slots")
{
    RunningSimulation simulation;
    simulation.partition(onlyFirstMask, true);
    simulation.advance(seconds(3));
    std::string id = simulation.submit(0, "models");
    simulation.advance(seconds(3));
    CHECK(simulation.stateOf(0, id) == ChangeState::Refused);
    CHECK(contains(reasonOf(simulation, 0, id), "only 1 of 4 entry slots"));
    CHECK(simulation.head().committed == 1);
}

// Otherwise an entry that admits work might not have the committed change.
TEST_CASE("a change needs every slot that is in contact")
{
    RunningSimulation simulation;
    simulation.setFilter([](const std::string& to, const Frame& frame) { return to != "entry-4" || frame.type != ProposeMessage::type; });
    std::string id = simulation.submit(0, "models");
    simulation.advance(seconds(3));
    CHECK(simulation.stateOf(0, id) == ChangeState::Refused);
    CHECK(contains(reasonOf(simulation, 0, id), "entry-4 is in contact and did not confirm"));
}

// Guards against a coordinator that ignores an Invalid vote or waits until the propose timeout.
TEST_CASE("a change that one entry can't apply is refused immediately")
{
    RunningSimulation simulation;
    simulation.rejectChangesAt(3);
    std::string id = simulation.submit(0, "models");
    simulation.advance(milliseconds(500));
    CHECK(simulation.stateOf(0, id) == ChangeState::Refused);
    CHECK(contains(reasonOf(simulation, 0, id), "entry-4 can't apply the change"));
}

// Guards against a change that is reported as refused although its write took effect.
TEST_CASE("a change is accepted after the response to its commit was lost")
{
    RunningSimulation simulation;
    simulation.setTable(TableMode::ResponsesLost);
    std::string id = simulation.submit(0, "models");
    simulation.advance(seconds(2));
    CHECK(simulation.stateOf(0, id) == ChangeState::Undecided);
    simulation.setTable(TableMode::Up);
    simulation.advance(seconds(3));
    CHECK(simulation.stateOf(0, id) == ChangeState::Accepted);
}

// A change must not be refused while a request for its write is still in transit.
TEST_CASE("a change stays undecided until no delayed request can commit it")
{
    RunningSimulation simulation;
    simulation.setTable(TableMode::WritesDelayed);
    std::string id = simulation.submit(0, "models");
    simulation.advance(seconds(14));
    CHECK(simulation.stateOf(0, id) == ChangeState::Undecided);
    simulation.setTable(TableMode::Up);
    simulation.advance(seconds(5));
    CHECK(simulation.stateOf(0, id) == ChangeState::Accepted);
}

// An operator must not overwrite a change that another operator has made since the section was read.
TEST_CASE("a change is refused if its section has changed since it was read")
{
    RunningSimulation simulation;
    simulation.submit(0, "models");
    simulation.advance(seconds(1));
    std::string stale = simulation.submit(1, "models", 1);
    CHECK(contains(simulation.submitErrors().at(stale), "read the section again"));
    std::string other = simulation.submit(1, "customers", 1);
    simulation.advance(seconds(1));
    CHECK(simulation.stateOf(1, other) == ChangeState::Accepted);
}

// Guards against a change that overwrites a concurrent change of the same section, and against one that is
// refused although the concurrent change is in another section.
TEST_CASE("of two concurrent changes one is accepted for the same section and both for different sections")
{
    for (const char* section : { "models", "customers" }) {
        RunningSimulation simulation;
        std::string first = simulation.submit(0, "models");
        std::string second = simulation.submit(1, section);
        simulation.advance(seconds(8));
        bool isFirstAccepted = simulation.stateOf(0, first) == ChangeState::Accepted;
        bool isSecondAccepted = simulation.stateOf(1, second) == ChangeState::Accepted;
        bool isSameSection = std::string(section) == "models";
        CHECK(isFirstAccepted + isSecondAccepted == (isSameSection ? 1 : 2));
        CHECK(simulation.head().inForce == (isSameSection ? 2 : 3));
    }
}

// With another base version, the member would vote on a different document than the coordinator proposes.
TEST_CASE("a member votes only on a change that is based on its version")
{
    RunningSimulation simulation;
    simulation.submit(0, "models");
    simulation.advance(seconds(1));
    std::optional<ProposeResultMessage> vote;
    simulation.setFilter([&vote](const std::string&, const Frame& frame) {
        if (frame.type == ProposeResultMessage::type)
            vote = std::get<ProposeResultMessage>(*decodeConfigurationMessage(frame));
        return true;
    });
    simulation.protocol(1).receive("entry-1", ProposeMessage { "x", 1, "models", "[models]\nchange = \"x\"\n" });
    REQUIRE(vote);
    CHECK(vote->vote == ProposeVote::Behind);
}

// A proposal from an earlier attempt must not be mistaken for the committed document.
TEST_CASE("a proposal counts as committed only for the version that it was created for")
{
    RunningSimulation simulation;
    ChangeProtocol& member = simulation.protocol(1);
    member.receive("entry-1", ProposeMessage { "x", 1, "models", "[models]\nchange = \"x\"\n" });
    member.receive("entry-1", LearnedMessage { 3, "x", 3, false });
    CHECK(member.inForce()->version == 1);
}

TEST_CASE("a document that is older than the current one is ignored")
{
    MemberState member("a", { "a" }, {});
    CommittedDocument document;
    document.version = 2;
    CHECK(member.recordDocument(std::make_shared<const CommittedDocument>(document), TimePoint()));
    document.version = 1;
    CHECK(!member.recordDocument(std::make_shared<const CommittedDocument>(document), TimePoint()));
    CHECK(member.learnedVersion() == 2);
}

// A sequence of later changes must not extend the grace period of an outdated entry by two seconds each.
TEST_CASE("the grace period starts with the first newer version")
{
    AdmissionGate gate(4, {});
    TimePoint now = TimePoint() + std::chrono::hours(1);
    gate.recordHead(now);
    gate.recordCommitted(2, now);
    gate.recordCommitted(3, now + milliseconds(1500));
    CHECK(gate.isWithinGrace(now + milliseconds(1900)));
    CHECK(!gate.isWithinGrace(now + milliseconds(2100)));
    gate.switchTo(2);
    CHECK(gate.isWithinGrace(now + milliseconds(2100)));
}

// Malformed input from a peer must not be decoded as a version or terminate the process.
TEST_CASE("malformed digests and messages are rejected")
{
    std::string digest = encodeDigest({ 1000000, 999999 });
    CHECK(digest.size() == 4);
    CHECK(decodeDigest(digest)->inForce == 999999);
    CHECK(!decodeDigest(""));
    CHECK(!decodeDigest(digest.substr(1, 1)));
    CHECK(!decodeDigest(digest + "x"));
    // The lag exceeds the version.
    CHECK(!decodeDigest(std::string("\x01\x02", 2)));
    Frame frame = encodeMessage(ConfigurationMessage(ProposeResultMessage { "x", 1, static_cast<ProposeVote>(9), "" }), 0);
    CHECK_THROWS_AS(decodeConfigurationMessage(frame), Error);
    frame.body.pop_back();
    CHECK_THROWS_AS(decodeConfigurationMessage(frame), Error);
    frame.type = "call";
    CHECK(!decodeConfigurationMessage(frame));
}

// A commit must fail if the head row was changed since it was read, or if the document row exists.
TEST_CASE("a commit is conditional on the head row and on the document row")
{
    class DirectTable : public Table {
    public:
        void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override { done(rows.read(keys)); }
        void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(rows.scan(prefix)); }
        void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override { done(rows.write(writes)); }
        MemoryTable rows;
    };
    DirectTable table;
    ManualClock clock;
    ConfigurationStore store(table, clock);
    table.rows.write(initialRows(ConfigurationText(), { "a" }));
    std::optional<HeadState> head;
    store.readHead([&head](const std::optional<HeadState>& read) { head = read; });
    REQUIRE(head);
    CommittedDocument document;
    document.version = 2;
    ResultCode code = ResultCode::Ok;
    auto recordCode = [&code](ResultCode result) { code = result; };
    table.rows.write({ { documentKey(2), "{}", std::nullopt } });
    store.commit(*head, document, recordCode);
    CHECK(code == ResultCode::TableConflict);
    table.rows.write({ { documentKey(2), std::nullopt, std::nullopt } });
    store.markInForce(*head, 1, recordCode);
    CHECK(code == ResultCode::Ok);
    store.commit(*head, document, recordCode);
    CHECK(code == ResultCode::TableConflict);
}

// Guards against changes that are refused for ever, and against entries that return to an older document, because the table
// has lost a commit.
TEST_CASE("a document that the table has lost is committed again, and the next change comes into force on all entries")
{
    for (bool isRestarted : { false, true }) {
        RunningSimulation simulation;
        MemoryTable copy = simulation.copyTable();
        simulation.submit(0, "models");
        simulation.advance(seconds(5));
        REQUIRE(simulation.head().committed == 2);
        simulation.restoreTable(copy);
        REQUIRE(simulation.head().committed == 1);
        if (isRestarted) {
            simulation.kill(2);
            simulation.start(2);
        }
        simulation.advance(seconds(6));
        CHECK(simulation.head().committed == 2);
        CHECK(simulation.head().inForce == 2);
        std::string change = simulation.submit(1, "models");
        simulation.advance(seconds(5));
        CHECK(simulation.stateOf(1, change) == ChangeState::Accepted);
        for (std::size_t i = 0; i < slotCount; ++i)
            CHECK(simulation.inForceAt(i) == 3);
    }
}

}
