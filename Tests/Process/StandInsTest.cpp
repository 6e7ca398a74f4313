#include "FreeEndpoint.h"
#include "Platform/HttpTable.h"
#include "Process/ChildProcess.h"
#include "Process/SyncHttp.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <thread>

namespace Damaskgrade {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds tableTimeout { 30 };
constexpr std::chrono::milliseconds pollPeriod { 10 };
constexpr int maxPolls = 3000;

// A running stand-in. The constructor waits until it is healthy.
struct StandIn {
    explicit StandIn(std::vector<std::string> arguments)
        : endpoint(freeEndpoint())
        , process(DAMASKGRADE_STAND_INS, withListen(std::move(arguments), endpoint))
    {
        process.waitUntilHealthy(endpoint);
    }

    static std::vector<std::string> withListen(std::vector<std::string> arguments, const Endpoint& endpoint)
    {
        arguments.insert(arguments.end(), { "--listen", formatEndpoint(endpoint) });
        return arguments;
    }

    Endpoint endpoint;
    ChildProcess process;
};

ResultCode writeRow(const Endpoint& platform, const TableWrite& write)
{
    EventLoop loop;
    HttpTable table(loop, platform, tableTimeout);
    ResultCode status = ResultCode::Internal;
    table.write({ write }, [&](const TableWriteResult& result) {
        status = result.status;
        loop.stop();
    });
    loop.run();
    return status;
}

TableReadResult readRow(const Endpoint& platform, const std::string& key)
{
    EventLoop loop;
    HttpTable table(loop, platform, tableTimeout);
    TableReadResult found;
    table.read({ key }, [&](const TableReadResult& result) {
        found = result;
        loop.stop();
    });
    loop.run();
    return found;
}

std::uint64_t executions(const Endpoint& engine, const std::string& executionKey)
{
    return Json::parse(getHttp(engine, "/v1/executions").body).value(executionKey, std::uint64_t { 0 });
}

Json orderState(const Endpoint& engine)
{
    return Json::parse(getHttp(engine, "/v1/orders/state").body);
}

HttpResponse book(const Endpoint& engine, const std::string& key)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/operations/book";
    request.headers.push_back({ "Idempotency-Key", key });
    return exchangeHttp(engine, request);
}

}

// Guards against a stand-in that loses the write together with its acknowledgement, which would hide faults of callers.
TEST_CASE("a table write whose acknowledgement is lost is applied")
{
    StandIn platform({ "platform" });
    // The first response is status 503, the second one is replaced by a closed connection.
    postHttp(platform.endpoint, "/control", R"({"lose_acknowledgements":2})");
    for (const char* key : { "refused", "closed" })
        CHECK(writeRow(platform.endpoint, { key, "x", absentVersion }) == ResultCode::TableUnavailable);
    for (const char* key : { "refused", "closed" }) {
        TableReadResult found = readRow(platform.endpoint, key);
        REQUIRE(found.rows.size() == 1);
        CHECK(found.rows[0].value == "x");
        CHECK(writeRow(platform.endpoint, { key, "y", absentVersion }) == ResultCode::TableConflict);
    }
    Json counters = Json::parse(getHttp(platform.endpoint, "/v1/counters").body);
    CHECK(counters.at("table_writes") == 4);
    CHECK(counters.at("table_conflicts") == 2);
    CHECK(platform.process.terminate() == 0);
}

// Guards against a stand-in that detects duplicates itself, which would hide duplicate executions.
TEST_CASE("the application engine counts each execution of a booking")
{
    StandIn engine({ "application-engine", "--name", "a1", "--service", "s", "--service-ms", "0" });
    CHECK(book(engine.endpoint, "k").status == 200);
    CHECK(executions(engine.endpoint, "book/k") == 1);
    postHttp(engine.endpoint, "/control", R"({"lose_acknowledgements":1,"duplicate":1})");
    CHECK(book(engine.endpoint, "k").status == 0);
    CHECK(executions(engine.endpoint, "book/k") == 3);
    postHttp(engine.endpoint, "/control", R"({"down":true})");
    CHECK(book(engine.endpoint, "k").status == 0);
    postHttp(engine.endpoint, "/control", R"({"down":false})");
    CHECK(executions(engine.endpoint, "book/k") == 3);
    engine.process.signal(SIGKILL);
    CHECK(engine.process.waitForExit() == -SIGKILL);
}

// Guards against an order of a former controller that is executed after its weights were loaded, although the current
// controller has already sent orders.
TEST_CASE("an order that waits for weights is refused after an order with a higher fencing token")
{
    StandIn platform({ "platform" });
    StandIn engine({ "model-engine", "--name", "e1", "--model", "m", "--check-fencing", "--weight-store", formatEndpoint(platform.endpoint) });
    postHttp(platform.endpoint, "/control", R"({"stall":true})");
    std::future<HttpResponse> prepare = std::async(std::launch::async, [&] {
        return postHttp(engine.endpoint, "/v1/orders", R"({"fencing_token":1,"kind":"prepare","epoch":[1,1],"map_version":2,"bytes":1})");
    });
    for (int polls = 0; polls < maxPolls && orderState(engine.endpoint).at("highest_token") != 1; ++polls)
        std::this_thread::sleep_for(pollPeriod);
    CHECK(orderState(engine.endpoint).at("highest_token") == 1);
    CHECK(postHttp(engine.endpoint, "/v1/orders", R"({"fencing_token":2,"kind":"set_role","role":"decode"})").status == 200);
    postHttp(platform.endpoint, "/control", R"({"stall":false})");
    CHECK(prepare.get().status == 409);
    CHECK(orderState(engine.endpoint).at("prepared_version") == 0);
    CHECK(orderState(engine.endpoint).at("role") == "decode");
}

// Guards against a test that keeps waiting for a program that failed to start.
TEST_CASE("a process that exits before it is healthy is reported")
{
    ChildProcess process(DAMASKGRADE_STAND_INS, { "platform", "--listen", "no address" });
    CHECK_THROWS(process.waitUntilHealthy(freeEndpoint()));
    CHECK(process.waitForExit() == 1);
}

}
