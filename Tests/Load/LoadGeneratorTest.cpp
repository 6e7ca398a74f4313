#include "Load/LoadGenerator.h"
#include "Core/ManualClock.h"
#include "Core/SystemClock.h"
#include "FreeEndpoint.h"
#include "Transport/HttpServer.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using Exchange = std::shared_ptr<HttpExchange>;

constexpr std::chrono::seconds testTimeout { 30 };

LoadOptions makeOptions(std::uint64_t calls)
{
    LoadOptions options;
    options.model = "m";
    options.service = "s";
    options.callsPerSecond = 1000;
    options.duration = testTimeout;
    options.deadline = testTimeout;
    options.drainLimit = testTimeout;
    options.maxCalls = calls;
    options.topicBytes = 0;
    options.expectedAnswer = [](const std::string&, std::uint64_t) { return "one two"; };
    return options;
}

// Runs the load generator against one entry for each handler.
LoadTestReport runLoad(EventLoop& loop, LoadOptions options, const std::vector<HttpServer::Handler>& handlers)
{
    SystemClock clock;
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (const HttpServer::Handler& handler : handlers) {
        options.entries.push_back(freeEndpoint());
        servers.push_back(std::make_unique<HttpServer>(loop, options.entries.back(), HttpServerLimits(), handler));
    }
    LoadGenerator generator(loop, clock, options);
    LoadTestReport report;
    generator.start([&](const LoadTestReport& result) {
        report = result;
        loop.stop();
    });
    loop.run();
    return report;
}

void writeStream(const Exchange& exchange, std::string_view events)
{
    exchange->beginStream({ 200, {}, "" });
    exchange->write(events);
    exchange->endStream();
}

void abortWhenWritten(EventLoop& loop, const Exchange& exchange)
{
    if (exchange->pendingBytes() == 0)
        exchange->abort();
    else
        loop.post([&loop, exchange] { abortWhenWritten(loop, exchange); });
}

constexpr std::string_view completeStream = "data: {\"text\":\"one \"}\n\ndata: {\"text\":\"two\"}\n\ndata: [DONE]\n\n";

}

// Guards against a closed-loop generator, in which a slow response delays the calls after it.
TEST_CASE("calls start on schedule while earlier calls have no response")
{
    EventLoop loop;
    std::vector<Exchange> pendingExchanges;
    LoadTestReport report = runLoad(loop, makeOptions(20), { [&](const Exchange& exchange) {
        pendingExchanges.push_back(exchange);
        if (pendingExchanges.size() < 20)
            return;
        for (const Exchange& pendingExchange : pendingExchanges)
            writeStream(pendingExchange, completeStream);
        pendingExchanges.clear();
    } });
    CHECK(report.outcomes(ResultCode::Ok, Executed::Yes) == 20);
    CHECK_FALSE(report.hasViolations());
    CHECK(report.firstToken().count == 20);
    CHECK(report.tokenGap().count == 20);
}

// Guards against coordinated omission: latencies that leave out the delay of a late start.
TEST_CASE("latency is measured from the scheduled start")
{
    EventLoop loop;
    ManualClock clock;
    LoadOptions options = makeOptions(1);
    options.entries = { freeEndpoint() };
    HttpServer server(loop, options.entries[0], HttpServerLimits(), [](const Exchange& exchange) { writeStream(exchange, completeStream); });
    HttpClient client(loop, testTimeout);
    LoadResult result;
    std::chrono::seconds startDelay { 5 };
    LoadCall call(client, clock, options, Arrival(), clock.now() - startDelay, "id", 0, [&](const LoadResult& finished) {
        result = finished;
        loop.stop();
    });
    call.send();
    loop.run();
    CHECK(result.code == ResultCode::Ok);
    CHECK(result.total == startDelay);
    CHECK(result.firstToken == startDelay);
}

// Guards against truncated streams and wrong texts that are counted as successes.
TEST_CASE("silent ends and wrong texts are violations")
{
    EventLoop loop;
    LoadTestReport silent = runLoad(loop, makeOptions(1), { [](const Exchange& exchange) { writeStream(exchange, "data: {\"text\":\"one two\"}\n\n"); } });
    CHECK(silent.silentEnds() == 1);
    CHECK(silent.outcomes(ResultCode::StreamInterrupted, Executed::Unknown) == 1);
    EventLoop secondLoop;
    LoadTestReport wrong = runLoad(secondLoop, makeOptions(1), { [](const Exchange& exchange) { writeStream(exchange, "data: {\"text\":\"one\"}\n\ndata: [DONE]\n\n"); } });
    CHECK(wrong.wrongAnswers() == 1);
    CHECK(wrong.onTime() == 0);
}

// Guards against error responses whose code or executed state is lost in the report.
TEST_CASE("error responses keep their code and executed state")
{
    EventLoop loop;
    LoadTestReport report = runLoad(loop, makeOptions(3), { [](const Exchange& exchange) { exchange->respond({ 503, {}, R"({"code":2006,"executed":"no"})" }); } });
    CHECK(report.outcomes(ResultCode::Overloaded, Executed::No) == 3);
}

// Guards against a lost stream that is counted as failed although another entry can resume it.
TEST_CASE("an interrupted stream resumes at another entry after the last event")
{
    EventLoop loop;
    std::vector<std::string> lastIds;
    HttpServer::Handler handler = [&](const Exchange& exchange) {
        std::optional<std::string> lastId = findHeader(exchange->request().headers, "Last-Event-ID");
        if (lastId) {
            lastIds.push_back(*lastId);
            writeStream(exchange, "id: r/a/7\ndata: {\"offset\":4,\"text\":\"two\"}\n\ndata: [DONE]\n\n");
            return;
        }
        exchange->beginStream({ 200, {}, "" });
        exchange->write("id: r/a/4\ndata: {\"offset\":0,\"text\":\"one \"}\n\n");
        abortWhenWritten(loop, exchange);
    };
    LoadTestReport report = runLoad(loop, makeOptions(1), { handler, handler });
    CHECK(report.outcomes(ResultCode::Ok, Executed::Yes) == 1);
    CHECK_FALSE(report.hasViolations());
    CHECK(lastIds == std::vector<std::string> { "r/a/4" });
}

// Guards against a booking that is retried with a different idempotency key.
TEST_CASE("a booking whose connection is lost is retried with its idempotency key")
{
    EventLoop loop;
    std::vector<std::string> keys;
    LoadOptions options = makeOptions(1);
    options.completions = 0;
    options.bookings = 1;
    HttpServer::Handler handler = [&](const Exchange& exchange) {
        keys.push_back(findHeader(exchange->request().headers, "Idempotency-Key").value_or(""));
        if (keys.size() == 1)
            exchange->abort();
        else
            exchange->respond({ 200, {}, "{}" });
    };
    LoadTestReport report = runLoad(loop, options, { handler, handler });
    CHECK(report.outcomes(ResultCode::Ok, Executed::Yes) == 1);
    REQUIRE(keys.size() == 2);
    CHECK_FALSE(keys[0].empty());
    CHECK(keys[0] == keys[1]);
}

// Guards against calls without a response that keep a run from ending.
TEST_CASE("the run ends at the drain limit")
{
    EventLoop loop;
    std::vector<Exchange> pendingExchanges;
    LoadOptions options = makeOptions(2);
    options.drainLimit = std::chrono::milliseconds(50);
    options.deadline = std::chrono::hours(1);
    LoadTestReport report = runLoad(loop, options, { [&](const Exchange& exchange) { pendingExchanges.push_back(exchange); } });
    CHECK(report.outcomes(ResultCode::Timeout, Executed::Unknown) == 2);
}

// Guards against a call that is reported as not executed although it may have been.
TEST_CASE("a call that reached no entry is reported as not executed")
{
    EventLoop loop;
    LoadOptions options = makeOptions(1);
    options.entries = { freeEndpoint() };
    LoadTestReport report = runLoad(loop, options, {});
    CHECK(report.outcomes(ResultCode::ConnectionFailed, Executed::No) == 1);
}

}
