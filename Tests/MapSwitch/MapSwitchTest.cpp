#include "Core/Error.h"
#include "Core/ManualClock.h"
#include "MapSwitch/FakeEngine.h"
#include "MapSwitch/MapAgent.h"
#include "MapSwitch/MapController.h"
#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

// A table that responds at once, and reports failures while it is down.
class ImmediateTable : public Table {
public:
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override { done(isDown ? TableReadResult() : rows.read(keys)); }
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(isDown ? TableReadResult() : rows.scan(prefix)); }
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override { done(isDown ? TableWriteResult() : rows.write(writes)); }

    void writeEpoch(const Epoch& epoch)
    {
        GroupRow row;
        row.lastEpoch = epoch;
        rows.write({ { groupRowKey("g"), encodeGroupRow(row), std::nullopt } });
    }

    MemoryTable rows;
    bool isDown { false };
};

// An engine that ignores fencing tokens and responds at once. A refusal can be delayed.
class ImmediateEngine : public MapEngine {
public:
    void prepare(const Epoch& epoch, MapVersion version, const std::string&, std::function<void(ResultCode)> done) override
    {
        ++orders;
        ResultCode code = engine.prepare(epoch, version);
        engine.finishLoading();
        done(code);
    }

    void arm(const Epoch& epoch, std::uint64_t step, MapVersion version, std::function<void(ResultCode)> done) override
    {
        ++orders;
        done(engine.arm(epoch, step, version));
    }

    void release(const Epoch& epoch, MapVersion version, std::function<void(ResultCode)> done) override
    {
        ++orders;
        done(engine.release(epoch, version));
    }

    void refuse(const Epoch& epoch, std::function<void(ResultCode)> done) override
    {
        if (!delaysRefusal) {
            done(engine.refuse(epoch));
            return;
        }
        delayedRefusal = [this, epoch] { engine.refuse(epoch); };
        done(ResultCode::ConnectionFailed);
    }

    void state(std::function<void(ResultCode, const MapEngineState&)> done) override { done(ResultCode::Ok, engine.state()); }

    FakeEngine engine { false };
    int orders { 0 };
    bool delaysRefusal { false };
    std::function<void()> delayedRefusal;
};

struct AgentFixture {
    MapAgent makeAgent()
    {
        MapAgentHooks hooks;
        hooks.sendResult = [this](const std::string&, const MapOrderResultMessage& message) { results.push_back(message); };
        hooks.sendVoteRequest = [this](const std::string& agent, const VoteRequestMessage&) { voteRequestTargets.push_back(agent); };
        hooks.sendVoteResponse = [this](const std::string&, const VoteResponseMessage& message) { voteResponses.push_back(message); };
        return MapAgent({ "a", "g", { "a", "b", "c" } }, clock, table, engine, hooks);
    }

    void order(MapAgent& agent, const Epoch& epoch, MapOrderKind kind, MapVersion version = noMap, std::uint64_t step = 0)
    {
        MapOrderMessage message;
        message.group = "g";
        message.controller = "entry";
        message.epoch = epoch;
        message.kind = kind;
        message.version = version;
        message.step = step;
        agent.receive(message);
    }

    // Makes the engine use map 1.
    void startEngine(MapAgent& agent)
    {
        agent.tick();
        order(agent, { 1, 1 }, MapOrderKind::Arm);
        order(agent, { 1, 1 }, MapOrderKind::Prepare, 1);
        order(agent, { 1, 1 }, MapOrderKind::Release, 1);
        REQUIRE(engine.engine.state().mapVersion == 1);
    }

    // Arms epoch 1.2 with map 2 for step 10 and blocks the engine before that step.
    void armAndBlock(MapAgent& agent)
    {
        order(agent, { 1, 2 }, MapOrderKind::Prepare, 2);
        order(agent, { 1, 2 }, MapOrderKind::Arm, 2, 10);
        engine.engine.execute(9);
        agent.tick();
        clock.advance(voteRequestDelay);
        agent.tick();
        REQUIRE(engine.engine.state().isBlocked);
    }

    ManualClock clock;
    ImmediateTable table;
    ImmediateEngine engine;
    std::vector<MapOrderResultMessage> results;
    std::vector<std::string> voteRequestTargets;
    std::vector<VoteResponseMessage> voteResponses;
};

// A controller that has taken over the lease of a group whose change to map 5 has no recorded outcome.
struct ControllerFixture {
    ControllerFixture()
    {
        GroupRow row;
        row.holder = "previous";
        row.lastEpoch = { 1, 1 };
        row.lastVersion = 5;
        row.inForce = 4;
        row.target = 5;
        table.rows.write({ { groupRowKey("g"), encodeGroupRow(row), std::nullopt }, { groupMapKey("g", 4), "four", std::nullopt }, { groupMapKey("g", 5), "five", std::nullopt } });
        MapControllerSettings settings;
        settings.name = "entry";
        settings.group = "g";
        settings.members = { "a", "b" };
        controller = std::make_unique<MapController>(settings, clock, table, random, [this](const std::string&, const MapOrderMessage& message) { orders.push_back(message); });
        while (orders.empty())
            tick();
    }

    void tick()
    {
        clock.advance(std::chrono::milliseconds(100));
        controller->tick();
    }

    void respond(const std::string& agent, const Epoch& epoch, const MapEngineState& state)
    {
        MapOrderResultMessage message;
        message.agent = agent;
        message.epoch = epoch;
        message.state = state;
        controller->receive(message);
    }

    MapEngineState state(MapVersion version, const Epoch& settled, std::optional<Epoch> armed = std::nullopt) const
    {
        MapEngineState result;
        result.mapVersion = version;
        result.settled = settled;
        result.armed = armed;
        return result;
    }

    bool hasOrdered(MapOrderKind kind) const
    {
        for (const MapOrderMessage& order : orders) {
            if (order.kind == kind)
                return true;
        }
        return false;
    }

    GroupRow row() const { return decodeGroupRow(table.rows.read({ groupRowKey("g") }).rows.front().value); }
    Epoch epoch() const { return orders.back().epoch; }

    ManualClock clock;
    ImmediateTable table;
    Random random { 1 };
    std::vector<MapOrderMessage> orders;
    std::unique_ptr<MapController> controller;
};

}

// Guards against a change that is recorded as given up while an engine can still arm its epoch.
TEST_CASE_FIXTURE(ControllerFixture, "a change is recorded as given up only after all engines have refused")
{
    respond("a", epoch(), state(4, { 1, 0 }));
    respond("b", epoch(), state(4, epoch()));
    tick();
    CHECK(hasOrdered(MapOrderKind::Refuse));
    CHECK(row().target == 5);
    respond("a", epoch(), state(4, epoch()));
    respond("b", epoch(), state(4, epoch()));
    tick();
    CHECK(row().target == noMap);
    CHECK(row().inForce == 4);
}

// Guards against a recovery that contradicts an outcome that an agent has already determined.
TEST_CASE_FIXTURE(ControllerFixture, "a recovery waits until all engines are armed and selects the highest map")
{
    respond("a", epoch(), state(noMap, {}));
    respond("b", epoch(), state(4, { 1, 0 }));
    tick();
    tick();
    REQUIRE(orders.back().kind == MapOrderKind::Arm);
    respond("a", epoch(), state(5, { 1, 1 }, epoch()));
    for (int count = 0; count < 4; ++count)
        tick();
    CHECK(!hasOrdered(MapOrderKind::Prepare));
    CHECK(!hasOrdered(MapOrderKind::Release));
    respond("b", epoch(), state(4, { 1, 0 }, epoch()));
    for (int count = 0; count < 3; ++count)
        tick();
    CHECK(orders.back().kind == MapOrderKind::Prepare);
    CHECK(orders.back().version == 5);
}

// Guards against orders of a previous holder of the lease that are accepted as those of the new one.
TEST_CASE_FIXTURE(ControllerFixture, "each lease has a higher token")
{
    CHECK(epoch().token == 2);
}

// Guards against a previous holder of the lease that continues after reading the row of the next one.
TEST_CASE_FIXTURE(ControllerFixture, "a lease holder that reads a newer token gives up the lease at once")
{
    GroupRow next = row();
    next.holder = "other";
    next.lastEpoch = { 3, 0 };
    table.rows.write({ { groupRowKey("g"), encodeGroupRow(next), std::nullopt } });
    for (int count = 0; count < 15; ++count)
        tick();
    CHECK(!controller->holdsLease());
}

// Guards against a decision based on engine states from before the lease.
TEST_CASE_FIXTURE(ControllerFixture, "a result of an older epoch is ignored")
{
    respond("a", { 1, 1 }, state(5, { 1, 1 }));
    respond("b", { 1, 1 }, state(5, { 1, 1 }));
    tick();
    CHECK(row().target == 5);
}

// Guards against arming engines while another one is still loading the map and so can only refuse.
TEST_CASE_FIXTURE(ControllerFixture, "engines are armed after all have loaded the map")
{
    controller->request("six");
    for (int count = 0; count < 4; ++count) {
        respond("a", epoch(), state(5, { 1, 1 }));
        respond("b", epoch(), state(5, { 1, 1 }));
        tick();
    }
    REQUIRE(hasOrdered(MapOrderKind::Prepare));
    MapEngineState prepared = state(5, { 1, 1 });
    prepared.preparedVersion = 6;
    respond("a", epoch(), prepared);
    tick();
    tick();
    CHECK(!hasOrdered(MapOrderKind::Arm));
    respond("b", epoch(), prepared);
    tick();
    tick();
    CHECK(hasOrdered(MapOrderKind::Arm));
}

// Guards against a refusal by a restarted engine whose earlier vote Armed may have been counted.
TEST_CASE_FIXTURE(AgentFixture, "a restarted engine has no vote")
{
    MapAgent agent = makeAgent();
    startEngine(agent);
    engine.engine.restart();
    agent.receive(VoteRequestMessage { "g", "b", { 1, 2 }, 2 });
    CHECK(voteResponses.back().vote == Vote::None);
}

// Guards against agents that decide the outcome of a recovery, although only the controller knows its map.
TEST_CASE_FIXTURE(AgentFixture, "a recovery replaces a vote without a refusal and is not decided by votes")
{
    MapAgent agent = makeAgent();
    startEngine(agent);
    order(agent, { 1, 2 }, MapOrderKind::Prepare, 2);
    order(agent, { 1, 2 }, MapOrderKind::Arm, 2, 10);
    order(agent, { 1, 3 }, MapOrderKind::Arm);
    agent.receive(VoteRequestMessage { "g", "b", { 1, 2 }, 2 });
    CHECK(voteResponses.back().vote == Vote::None);
    agent.tick();
    clock.advance(2 * voteRequestDelay);
    agent.tick();
    CHECK(voteRequestTargets.empty());
    CHECK(engine.engine.state().armed);
}

// Guards against orders of a controller with an expired lease to an engine that ignores tokens.
TEST_CASE_FIXTURE(AgentFixture, "an agent refuses an order with a stale token")
{
    MapAgent agent = makeAgent();
    agent.tick();
    order(agent, { 2, 0 }, MapOrderKind::Query);
    order(agent, { 1, 9 }, MapOrderKind::Prepare, 5);
    CHECK(results.back().code == ResultCode::FencingTokenStale);
    CHECK(engine.orders == 0);
}

// Guards against a restarted agent that forwards an order that was superseded while the agent was down.
TEST_CASE_FIXTURE(AgentFixture, "a restarted agent forwards nothing until it has read the token")
{
    table.writeEpoch({ 4, 0 });
    table.isDown = true;
    MapAgent agent = makeAgent();
    agent.tick();
    order(agent, { 3, 1 }, MapOrderKind::Prepare, 5);
    CHECK(results.back().code == ResultCode::FencingTokenUnknown);
    table.isDown = false;
    agent.tick();
    order(agent, { 3, 1 }, MapOrderKind::Prepare, 5);
    CHECK(results.back().code == ResultCode::FencingTokenStale);
    CHECK(engine.orders == 0);
    order(agent, { 4, 1 }, MapOrderKind::Prepare, 5);
    CHECK(engine.orders == 1);
}

// Guards against a late refusal that ends an armed epoch whose vote other agents have counted, so that ranks use
// different maps in one step. A refusal that is sent as a release order has this effect.
TEST_CASE_FIXTURE(AgentFixture, "a refusal that is carried out late does not withdraw a vote")
{
    MapAgent agent = makeAgent();
    startEngine(agent);
    engine.delaysRefusal = true;
    agent.receive(VoteRequestMessage { "g", "b", { 1, 2 }, 2 });
    CHECK(voteResponses.back().vote == Vote::None);
    order(agent, { 1, 2 }, MapOrderKind::Prepare, 2);
    order(agent, { 1, 2 }, MapOrderKind::Arm, 2, 10);
    agent.receive(VoteRequestMessage { "g", "b", { 1, 2 }, 2 });
    REQUIRE(voteResponses.back().vote == Vote::Armed);
    engine.delayedRefusal();
    agent.receive(VoteRequestMessage { "g", "b", { 1, 2 }, 2 });
    CHECK(voteResponses.back().vote == Vote::Armed);
}

// Guards against an engine that arms an epoch after its refusal was counted and its agent was restarted.
TEST_CASE_FIXTURE(AgentFixture, "a refusal remains in effect after a restart of the agent")
{
    {
        MapAgent agent = makeAgent();
        startEngine(agent);
        agent.receive(VoteRequestMessage { "g", "b", { 1, 2 }, 2 });
        REQUIRE(voteResponses.back().vote == Vote::Refused);
    }
    MapAgent agent = makeAgent();
    agent.tick();
    order(agent, { 1, 2 }, MapOrderKind::Prepare, 2);
    order(agent, { 1, 2 }, MapOrderKind::Arm, 2, 10);
    CHECK(results.back().code == ResultCode::MapRefused);
    CHECK(!results.back().state.armed);
}

// Guards against an engine that is released before its agent has received all votes.
TEST_CASE_FIXTURE(AgentFixture, "a blocked engine is released only after all agents have voted Armed")
{
    MapAgent agent = makeAgent();
    startEngine(agent);
    armAndBlock(agent);
    CHECK(voteRequestTargets == std::vector<std::string> { "b", "c" });
    agent.receive(VoteResponseMessage { "g", "b", { 1, 2 }, Vote::Armed });
    agent.receive(VoteResponseMessage { "g", "b", { 1, 2 }, Vote::Armed });
    CHECK(engine.engine.state().armed);
    agent.receive(VoteResponseMessage { "g", "c", { 1, 2 }, Vote::Armed });
    CHECK(!engine.engine.state().armed);
    CHECK(engine.engine.state().mapVersion == 2);
}

// Guards against an agent that waits for more votes after one refusal.
TEST_CASE_FIXTURE(AgentFixture, "one refusal releases a blocked engine with the old map")
{
    MapAgent agent = makeAgent();
    startEngine(agent);
    armAndBlock(agent);
    agent.receive(VoteResponseMessage { "g", "c", { 1, 2 }, Vote::Refused });
    CHECK(!engine.engine.state().armed);
    CHECK(engine.engine.state().mapVersion == 1);
}

// Guards against delayed orders of an older epoch that make a restarted engine use an old map.
TEST_CASE_FIXTURE(AgentFixture, "a restarted engine gets no orders of an older epoch")
{
    MapAgent agent = makeAgent();
    startEngine(agent);
    order(agent, { 1, 2 }, MapOrderKind::Query);
    engine.engine.restart();
    order(agent, { 1, 1 }, MapOrderKind::Arm);
    CHECK(results.back().code == ResultCode::FencingTokenStale);
    CHECK(!engine.engine.state().armed);
}

// Guards against two holders of the same lease, and against a holder that sends orders after its lease has
// expired.
TEST_CASE("only the holder of an unexpired lease sends orders")
{
    ManualClock clock;
    ImmediateTable table;
    Random random(1);
    int firstOrders = 0;
    int secondOrders = 0;
    MapControllerSettings settings;
    settings.group = "g";
    settings.members = { "a" };
    settings.name = "first";
    MapController first(settings, clock, table, random, [&firstOrders](const std::string&, const MapOrderMessage&) { ++firstOrders; });
    settings.name = "second";
    MapController second(settings, clock, table, random, [&secondOrders](const std::string&, const MapOrderMessage&) { ++secondOrders; });
    for (int tick = 0; tick < 100; ++tick) {
        first.tick();
        second.tick();
        clock.advance(std::chrono::milliseconds(100));
    }
    CHECK(first.holdsLease());
    CHECK(!second.holdsLease());
    CHECK(secondOrders == 0);

    // The first controller is paused for longer than its lease. The table is down when it resumes.
    for (int tick = 0; tick < 120; ++tick) {
        second.tick();
        clock.advance(std::chrono::milliseconds(100));
    }
    CHECK(second.holdsLease());
    table.isDown = true;
    int before = firstOrders;
    first.tick();
    first.tick();
    CHECK(firstOrders == before);
    CHECK(!first.holdsLease());
}

// Guards against fields that an encoding loses, and against a malformed message that is accepted.
TEST_CASE("map messages are decoded as they were encoded")
{
    MapOrderMessage order;
    order.epoch = { 3, 4 };
    order.kind = MapOrderKind::Refuse;
    order.payload = "map";
    MapOrderMessage decoded = decodeMapOrder(encodeMessage(order, 0).body);
    CHECK(decoded.epoch == order.epoch);
    CHECK(decoded.kind == order.kind);
    CHECK(decoded.payload == order.payload);
    Bytes wrong { 1 };
    CHECK_THROWS_AS(decodeVoteResponse(wrong), Error);
}

}
