#include "RankMaps/RankAgentProcess.h"

#include "Core/SystemClock.h"
#include "FreeEndpoint.h"
#include "LoopRunner.h"

#include <doctest/doctest.h>

#include <fcntl.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::uint32_t rankCount = 3;

// A table in memory. All operations fail while isDown is set.
class TestTable : public Table {
public:
    explicit TestTable(EventLoop& loop)
        : loop_(loop)
    {
    }

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        TableReadResult result;
        for (const std::string& key : keys) {
            auto row = rows.find(key);
            if (row != rows.end())
                result.rows.push_back(row->second);
        }
        respond(result, done);
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        TableReadResult result;
        for (const auto& [key, row] : rows) {
            if (key.compare(0, prefix.size(), prefix) == 0)
                result.rows.push_back(row);
        }
        respond(result, done);
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        TableWriteResult result { isDown ? ResultCode::TableUnavailable : ResultCode::Ok };
        for (const TableWrite& write : writes) {
            RowVersion version = rows.count(write.key) != 0 ? rows[write.key].version : absentVersion;
            if (!isDown && write.expectedVersion && *write.expectedVersion != version)
                result.status = ResultCode::TableConflict;
        }
        for (const TableWrite& write : writes) {
            if (result.status == ResultCode::Ok && write.value)
                rows[write.key] = { write.key, *write.value, ++version_ };
        }
        result.generation = generation;
        loop_.post([result, done] { done(result); });
    }

    // Returns to earlier rows, which begins a new generation.
    void restore(const std::map<std::string, TableRow>& copy)
    {
        rows = copy;
        ++generation;
    }

    bool isDown { false };
    std::map<std::string, TableRow> rows;
    StoreGeneration generation { 1 };

private:
    void respond(TableReadResult result, const std::function<void(const TableReadResult&)>& done)
    {
        result.status = isDown ? ResultCode::TableUnavailable : ResultCode::Ok;
        if (isDown)
            result.rows.clear();
        result.generation = generation;
        loop_.post([result, done] { done(result); });
    }

    EventLoop& loop_;
    RowVersion version_ { 0 };
};

class EmptyCatalog : public CatalogSource {
public:
    void read(Done done) override { done({}); }
    void awaitChange(std::uint64_t, std::chrono::milliseconds, Done) override { }
    CatalogVersion decode(const std::string&) const override { return {}; }
};

// State of the fake engine of one rank, and the kinds of the orders that it received.
struct EngineState {
    RankReport report;
    std::vector<RankOrderKind> orders;
};

class FakeRankEngine : public RankEngine {
public:
    explicit FakeRankEngine(EngineState& state)
        : state_(state)
    {
    }

    void report(std::function<void(std::optional<RankReport>)> done) override { done(state_.report); }
    void counts(std::function<void(std::optional<ExpertCounts>)> done) override { done(std::nullopt); }
    void lists(std::function<void(std::optional<RankLists>)> done) override { done(std::nullopt); }
    void order(const RankOrder& order, std::chrono::milliseconds, std::function<void(RankOrderResult)> done) override
    {
        state_.orders.push_back(order.kind);
        if (order.kind == RankOrderKind::Arm)
            state_.report.armed = ArmedMap { order.version, order.pass };
        if (order.kind == RankOrderKind::Go)
            state_.report.heldPass.reset();
        done(RankOrderResult::Accepted);
    }

private:
    EngineState& state_;
};

class RankAgentSimulation {
public:
    RankAgentSimulation()
        : table(loop)
        , log(clock, ::open("/dev/null", O_WRONLY), "test")
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            EngineState& engine = engines[rank];
            engine.report.group = "g";
            engine.report.rank = rank;
            engine.report.groupSize = rankCount;
            engine.report.epoch = 1;
            engine.report.isOpen = true;
            engine.report.pass = 10;
            links.push_back(freeEndpoint());
            agents.push_back(nullptr);
        }
    }

    void start(std::uint32_t rank)
    {
        RankAgentSettings settings;
        settings.name = "agent" + std::to_string(rank);
        settings.service = "s";
        settings.link = links[rank];
        settings.metrics = freeEndpoint();
        settings.engine = { "127.0.0.1", static_cast<std::uint16_t>(rank + 1) };
        settings.controllerTimeout = std::chrono::milliseconds(400);
        settings.controllerTimeoutPerRank = std::chrono::milliseconds(100);
        settings.firstAgentScanDelay = std::chrono::milliseconds(300);
        RankAgentPlatform platform { table, catalog, [this](const Endpoint& engine) { return std::make_unique<FakeRankEngine>(engines[engine.port - 1U]); } };
        agents[rank] = std::make_unique<RankAgentProcess>(loop, clock, random, settings, platform, log);
    }

    bool runUntil(const std::function<bool()>& condition) { return runLoopUntil(loop, condition); }

    std::string controllerRow() const
    {
        auto row = table.rows.find("mapControllers/g");
        return row == table.rows.end() ? "" : row->second.value;
    }

    bool areAllRanksArmed() const
    {
        return std::all_of(engines.begin(), engines.end(), [](const auto& entry) { return entry.second.report.armed.has_value(); });
    }

    SystemClock clock;
    EventLoop loop;
    Random random { 5 };
    TestTable table;
    EmptyCatalog catalog;
    DecisionLog log;
    std::map<std::uint32_t, EngineState> engines;
    std::vector<Endpoint> links;
    std::vector<std::unique_ptr<RankAgentProcess>> agents;
};

}

// Guards against a group without a controller, and against two controllers with the same term.
TEST_CASE("one agent takes control, and after its end another agent takes over with a higher term")
{
    RankAgentSimulation simulation;
    for (std::uint32_t rank = 0; rank < rankCount; ++rank)
        simulation.start(rank);
    REQUIRE(simulation.runUntil([&] { return !simulation.controllerRow().empty(); }));
    CHECK(simulation.controllerRow().substr(0, 9) == "1 agent0#");
    simulation.agents[0] = nullptr;
    CHECK(simulation.runUntil([&] { return simulation.controllerRow().substr(0, 9) == "2 agent1#"; }));
}

// Guards against a group that stays held until the table is available again, after its controller has ended.
TEST_CASE("a change in progress is completed while the table is unavailable and an agent is gone")
{
    RankAgentSimulation simulation;
    for (std::uint32_t rank = 0; rank < rankCount; ++rank)
        simulation.start(rank);
    REQUIRE(simulation.runUntil([&] { return simulation.controllerRow().substr(0, 2) == "1 "; }));
    // By then every agent has received a status request with the term.
    simulation.runUntil([&, until = simulation.clock.now() + std::chrono::milliseconds(800)] { return simulation.clock.now() >= until; });
    simulation.agents[0] = nullptr;
    for (auto& [rank, engine] : simulation.engines)
        engine.report.prepared = 7;
    simulation.engines[0].report.heldPass = 15;
    simulation.engines[1].report.armed = ArmedMap { 7, 15 };
    simulation.table.isDown = true;
    // The agent of rank 0 is not started again, so orders have to be sent directly to its engine.
    std::vector<RankOrderKind>& orders = simulation.engines[0].orders;
    bool isReleased = simulation.runUntil([&] { return !simulation.engines[0].report.heldPass; });
    CHECK_MESSAGE(isReleased, "orders at rank 0: " << orders.size());
    CHECK(simulation.areAllRanksArmed());
}

// Guards against a controller that goes on under a term which the table has lost, and against agents that are missing.
TEST_CASE("after the table has lost writes the controller acquires a higher term, and agents write their rows again")
{
    RankAgentSimulation simulation;
    for (std::uint32_t rank = 0; rank < rankCount; ++rank)
        simulation.start(rank);
    REQUIRE(simulation.runUntil([&] { return simulation.controllerRow().substr(0, 9) == "1 agent0#" && simulation.table.rows.size() == rankCount + 1; }));
    for (const std::unique_ptr<RankAgentProcess>& agent : simulation.agents)
        agent->handleStoreGeneration(1);
    // By then every agent has read the rows for the first time.
    simulation.runUntil([&, until = simulation.clock.now() + std::chrono::milliseconds(800)] { return simulation.clock.now() >= until; });
    simulation.table.restore({});
    simulation.agents[0]->handleStoreGeneration(2);
    CHECK(simulation.runUntil([&] { return simulation.controllerRow().substr(0, 13) == "10001 agent0#"; }));
    CHECK(simulation.runUntil([&] { return simulation.table.rows.size() == rankCount + 1; }));
}

}
