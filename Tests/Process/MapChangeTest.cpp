#include "Agent/HttpMapEngine.h"
#include "FreeEndpoint.h"
#include "Process/ChildProcess.h"
#include "Process/SyncHttp.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <memory>
#include <thread>

namespace Damaskgrade {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds pollPeriod { 10 };
constexpr int maxPolls = 6000;

bool waitFor(const std::function<bool()>& condition)
{
    for (int polls = 0; polls < maxPolls; ++polls) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollPeriod);
    }
    return false;
}

std::unique_ptr<ChildProcess> start(const char* program, std::vector<std::string> arguments, const Endpoint& health)
{
    std::unique_ptr<ChildProcess> process = std::make_unique<ChildProcess>(program, arguments);
    process->waitUntilHealthy(health);
    return process;
}

// A platform and a group of two engines with their agents, without entries. The tests send orders to the engines directly.
struct GroupFixture {
    GroupFixture()
    {
        processes.push_back(start(DAMASKGRADE_STAND_INS, { "platform", "--listen", formatEndpoint(platform) }, platform));
        for (std::size_t i = 0; i < names.size(); ++i) {
            startEngine(i);
            startAgent(i);
        }
    }

    void startEngine(std::size_t index)
    {
        processes.push_back(start(DAMASKGRADE_STAND_INS,
            { "model-engine", "--listen", formatEndpoint(engines[index]), "--name", names[index], "--model", "m", "--group", "g", "--step-ms", "2",
                "--barrier", formatEndpoint(engines[0]), "--group-engines", "2", "--wait-for-map" },
            engines[index]));
    }

    void startAgent(std::size_t index)
    {
        Endpoint link = freeEndpoint();
        Json record { { "name", names[index] }, { "role", "backendServer" }, { "state", "live" }, { "availabilityZone", "z" }, { "serves", "m" }, { "link", formatEndpoint(link) } };
        HttpRequest request;
        request.method = "PUT";
        request.target = "/v1/instances/" + names[index];
        request.body = record.dump();
        REQUIRE(exchangeHttp(platform, request).status == 200);
        processes.push_back(start(DAMASKGRADE_PROGRAM,
            { "agent", "--name", names[index], "--availability-zone", "z", "--link", formatEndpoint(link), "--http", formatEndpoint(agents[index]), "--engine",
                formatEndpoint(engines[index]), "--engine-kind", "model", "--serves", "m", "--group", "g", "--group-members", "a,b", "--platform", formatEndpoint(platform) },
            agents[index]));
    }

    bool areAgentsLinked() const
    {
        for (const Endpoint& agent : agents) {
            if (getHttp(agent, "/metrics").body.find("damaskgrade_link_opened_total{side=\"group\"} 1") == std::string::npos)
                return false;
        }
        return true;
    }

    static int order(const Endpoint& engine, const char* kind, std::uint64_t sequence, std::uint64_t mapVersion, std::uint64_t step = 0)
    {
        Json json { { "kind", kind }, { "fencing_token", 1 }, { "epoch", { 1, sequence } }, { "map_version", mapVersion }, { "step", step } };
        return postHttp(engine, "/v1/orders", json.dump()).status;
    }

    static Json state(const Endpoint& engine) { return Json::parse(getHttp(engine, "/v1/orders/state").body); }

    // Sets map 1 on both engines with a recovery, prepares map 2, waits until the agents are linked, and makes the
    // platform unavailable.
    void prepareChange()
    {
        for (const Endpoint& engine : engines)
            REQUIRE(order(engine, "arm", 1, 0) == 200);
        for (const Endpoint& engine : engines) {
            REQUIRE(order(engine, "prepare", 1, 1) == 200);
            REQUIRE(order(engine, "release", 1, 1) == 200);
        }
        for (const Endpoint& engine : engines)
            REQUIRE(order(engine, "prepare", 2, 2) == 200);
        REQUIRE(waitFor([this] { return areAgentsLinked() && state(engines[0]).at("step") > 0; }));
        postHttp(platform, "/control", R"({"down":true})");
    }

    // Adds a delay to each step, so that orders arrive in time on any machine. 0 removes the delay.
    void setStepDelay(int milliseconds) const
    {
        postHttp(engines[0], "/control", Json { { "step_delay_ms", milliseconds } }.dump());
    }

    // Returns a step that the group reaches in about 100 s with a step delay of 100 ms, and in 2 s without delay.
    static std::uint64_t laterStep(const Endpoint& engine) { return state(engine).at("step").get<std::uint64_t>() + 1000; }

    bool havePassedStep(std::uint64_t step, std::uint64_t mapVersion) const
    {
        for (const Endpoint& engine : engines) {
            Json found = state(engine);
            if (found.at("step") <= step || found.at("map_version") != mapVersion)
                return false;
        }
        return true;
    }

    std::vector<std::string> names { "a", "b" };
    Endpoint platform { freeEndpoint() };
    std::vector<Endpoint> engines { freeEndpoint(), freeEndpoint() };
    std::vector<Endpoint> agents { freeEndpoint(), freeEndpoint() };
    std::vector<std::unique_ptr<ChildProcess>> processes;
};

}

// Guards against a group that stays blocked because its controller fails during a platform outage.
TEST_CASE_FIXTURE(GroupFixture, "agents of an armed group decide the switch by their votes, without an entry or the table")
{
    prepareChange();
    setStepDelay(100);
    std::uint64_t step = laterStep(engines[0]);
    for (const Endpoint& engine : engines)
        REQUIRE(order(engine, "arm", 2, 2, step) == 200);
    setStepDelay(0);
    CHECK(waitFor([this, step] { return havePassedStep(step, 2); }));
    Json steps = Json::parse(getHttp(engines[0], "/v1/steps").body);
    CHECK(steps.at("mixed_map_steps") == 0);
    for (const Json& record : steps.at("steps"))
        CHECK(record.at("map_version") == (record.at("step") >= step ? 2 : 1));
}

// Guards against a rank that switches although another rank is not armed.
TEST_CASE_FIXTURE(GroupFixture, "agents keep the map if one engine of the group is not armed")
{
    prepareChange();
    setStepDelay(100);
    std::uint64_t step = laterStep(engines[0]);
    REQUIRE(order(engines[0], "arm", 2, 2, step) == 200);
    setStepDelay(0);
    CHECK(waitFor([this, step] { return havePassedStep(step, 1); }));
    CHECK(order(engines[1], "arm", 2, 2, laterStep(engines[1])) == 409);
    CHECK(Json::parse(getHttp(engines[0], "/v1/steps").body).at("mixed_map_steps") == 0);
}

// Guards against results and states that are mapped to wrong values, and against callbacks that aren't called if the
// connection to the engine is lost.
TEST_CASE("HttpMapEngine translates the orders, results and states of an engine correctly")
{
    Endpoint address = freeEndpoint();
    std::unique_ptr<ChildProcess> process = start(DAMASKGRADE_STAND_INS,
        { "model-engine", "--listen", formatEndpoint(address), "--name", "e", "--model", "m", "--wait-for-map", "--check-fencing" }, address);
    MapEngineState found;
    using SendOrder = std::function<void(HttpMapEngine&, std::function<void(ResultCode)>)>;
    // Sends one order, waits for its result and reads the state of the engine.
    auto run = [&](const SendOrder& send) {
        EventLoop loop;
        AgentSettings settings;
        settings.engine = address;
        EngineClient client(loop, settings);
        HttpMapEngine engine(client);
        std::vector<ResultCode> results;
        auto finish = [&](ResultCode code, const MapEngineState& state) {
            results.push_back(code);
            found = state;
            loop.stop();
        };
        send(engine, [&](ResultCode code) {
            results.push_back(code);
            engine.state(finish);
        });
        loop.run();
        REQUIRE(results.size() == 2);
        CHECK((results[1] == ResultCode::Ok) == process->isRunning());
        return results[0];
    };
    auto prepare = [&](const Epoch& epoch, MapVersion version) {
        return run([&](HttpMapEngine& engine, auto done) { engine.prepare(epoch, version, "map", done); });
    };
    auto arm = [&](const Epoch& epoch, std::uint64_t step, MapVersion version) {
        return run([&](HttpMapEngine& engine, auto done) { engine.arm(epoch, step, version, done); });
    };
    auto release = [&](const Epoch& epoch, MapVersion version) {
        return run([&](HttpMapEngine& engine, auto done) { engine.release(epoch, version, done); });
    };
    auto refuse = [&](const Epoch& epoch) {
        return run([&](HttpMapEngine& engine, auto done) { engine.refuse(epoch, done); });
    };
    CHECK(refuse({ 3, 1 }) == ResultCode::MapRefused);
    CHECK(arm({ 3, 1 }, 0, noMap) == ResultCode::Ok);
    REQUIRE(found.armed);
    CHECK((*found.armed == Epoch { 3, 1 }));
    CHECK(found.armedVersion == noMap);
    CHECK(found.isBlocked);
    CHECK(prepare({ 3, 1 }, 4) == ResultCode::Ok);
    CHECK(found.preparedVersion == 4);
    CHECK(release({ 3, 1 }, 4) == ResultCode::Ok);
    CHECK_FALSE(found.armed);
    CHECK_FALSE(found.isBlocked);
    CHECK(found.mapVersion == 4);
    CHECK((found.settled == Epoch { 3, 1 }));
    CHECK(prepare({ 3, 2 }, 5) == ResultCode::Ok);
    CHECK(arm({ 3, 2 }, 100, 5) == ResultCode::Ok);
    CHECK(found.armedVersion == 5);
    CHECK_FALSE(found.isBlocked);
    CHECK(refuse({ 3, 3 }) == ResultCode::MapRefused);
    CHECK(release({ 2, 9 }, 4) == ResultCode::FencingTokenStale);
    process->signal(SIGKILL);
    process->waitForExit();
    CHECK(refuse({ 3, 3 }) == ResultCode::ConnectionFailed);
}

}
