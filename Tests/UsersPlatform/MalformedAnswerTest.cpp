#include "platform/RankEngineClient.h"
#include "platform/StoreClient.h"

#include "Core/SystemClock.h"
#include "LoopRunner.h"
#include "Transport/MalformedHeads.h"
#include "Transport/ScriptedServer.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Damaskgrade::Platform {

namespace {

constexpr std::chrono::milliseconds orderTimeout { 5000 };

std::string wholeResponse(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string rankReport = R"({"group":{"Name":"g","epoch":1,"rank":0,"State":"open"},"size":2,"step":7,"Map":0})";

RankOrder armOrder()
{
    RankOrder order;
    order.kind = RankOrderKind::Arm;
    return order;
}

// Calls check with a server that sends the malformed head, followed by the response, for each malformed head.
void forEachMalformedHead(const std::string& response, const std::function<void(EventLoop&, ScriptedServer&)>& check)
{
    for (const std::string& head : malformedHeads()) {
        CAPTURE(head);
        EventLoop loop;
        ScriptedServer server(loop, [&](const HttpRequest&) { return ScriptedResponse { insertHeaderLines(head, "") + response, AfterResponse::Close }; });
        check(loop, server);
    }
}

}

// Guards against a write of the store that counts as refused although it may have been done.
TEST_CASE("after a malformed response of the store, a write is unknown, and a read has no rows")
{
    forEachMalformedHead(wholeResponse("200 OK", R"({"Ver":5,"Rows":[{"Key":"a","Value":"","Ver":5}]})"), [](EventLoop& loop, ScriptedServer& server) {
        StoreClient store(loop, server.endpoint());
        std::optional<StoreResult> written;
        std::optional<StoreResult> read;
        store.write({ { "t", {} } }, [&](const StoreResult& result) { written = result; });
        store.readRows("t", "", [&](const StoreResult& result) { read = result; });
        REQUIRE(runLoopUntil(loop, [&] { return written && read; }));
        CHECK(written->status == StoreStatus::Unknown);
        CHECK(read->status == StoreStatus::Unknown);
        CHECK(read->rows.empty());
    });
}

// Guards against a malformed head of an engine that is skipped, so that what follows it counts as the acceptance of an order or
// as a report.
TEST_CASE("after a malformed response of an engine, an order is unknown, and there is no report")
{
    SystemClock clock;
    forEachMalformedHead(wholeResponse("202 Accepted", "{}"), [&clock](EventLoop& loop, ScriptedServer& server) {
        RankEngineClient engine(loop, clock, server.endpoint());
        std::optional<RankOrderResult> order;
        engine.order(armOrder(), orderTimeout, [&](RankOrderResult result) { order = result; });
        REQUIRE(runLoopUntil(loop, [&] { return order.has_value(); }));
        CHECK(*order == RankOrderResult::Unknown);
    });
    forEachMalformedHead(wholeResponse("200 OK", rankReport), [&clock](EventLoop& loop, ScriptedServer& server) {
        RankEngineClient engine(loop, clock, server.endpoint());
        bool isDone = false;
        std::optional<RankReport> report;
        engine.report([&](std::optional<RankReport> result) {
            report = std::move(result);
            isDone = true;
        });
        REQUIRE(runLoopUntil(loop, [&] { return isDone; }));
        CHECK_FALSE(report);
    });
}

// Guards against checks of responses that reject those of a sound engine.
TEST_CASE("the same responses count without a malformed head before them")
{
    SystemClock clock;
    EventLoop loop;
    ScriptedServer server(loop, [](const HttpRequest& request) {
        bool isOrder = request.method == "POST";
        return ScriptedResponse { isOrder ? wholeResponse("202 Accepted", "{}") : wholeResponse("200 OK", rankReport) };
    });
    RankEngineClient engine(loop, clock, server.endpoint());
    std::optional<RankOrderResult> order;
    std::optional<RankReport> report;
    engine.order(armOrder(), orderTimeout, [&](RankOrderResult result) { order = result; });
    engine.report([&](std::optional<RankReport> result) { report = std::move(result); });
    REQUIRE(runLoopUntil(loop, [&] { return order && report; }));
    CHECK(*order == RankOrderResult::Accepted);
    CHECK(report->pass == 7);
}

}
