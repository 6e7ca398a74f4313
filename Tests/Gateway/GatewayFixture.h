#pragma once

#include "Core/SystemClock.h"
#include "FreeEndpoint.h"
#include "Gateway/Forwarder.h"
#include "LoopRunner.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "Transport/ScriptedServer.h"

#include <fcntl.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

// Header names that are used in the tests.
inline HeaderNames testHeaderNames()
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.deadline = "Deadline-Ms";
    names.signature = "Signature";
    names.customer = "Customer";
    names.expectedServer = "Expected-Server";
    names.serverLoad = "Server-Load";
    names.rateLimit = "Rate-Limit";
    names.leaving = "Leaving";
    names.notExecuted = "Not-Executed";
    names.engineUrgency = "Urgency";
    names.lastEventId = "Last-Event-Id";
    names.retryAfter = "Retry-After";
    names.credentials = "Authorization";
    names.promptParts = "Prompt-Parts";
    names.keyScheme = "Token ";
    return names;
}

struct CallerResult {
    int status { 0 };
    std::vector<HttpHeader> headers;
    std::string body;
    // The response ended as indicated by its framing.
    bool isComplete { false };
    bool isDone { false };

    std::string header(std::string_view name) const { return findHeader(headers, name).value_or(""); }
};

// The forwarding part of a gateway with scripted backend servers and a client for its callers.
class GatewayFixture {
public:
    static constexpr const char* service = "app";

    explicit GatewayFixture(ServerSelectorSettings selectorSettings = {})
        : catalog([](const Catalog&) {})
        , fleet(clock, {}, [](const ServerRecord&) {})
        , loads(clock, std::chrono::seconds(1))
        , outliers(clock, OutlierSettings())
        , rateLimits(clock, "test", {}, nullptr)
        , serverSelector(clock, fleet, loads, outliers, rateLimits, random, std::move(selectorSettings))
        , pool(clock, {}, [this] { return makeUpstreamConnection(loop, names.requestId); })
        , retryBudget(clock, ServiceRetryBudgetSettings())
        , log(clock, openDevNull(), "test")
        , quarantine(clock, "test", {}, nullptr)
        , crashDetector(clock, quarantine, [this] { return makeUpstreamConnection(loop, names.requestId); }, {})
        , context { clock, names, loads, serverSelector, rateLimits, pool, responseBuffers, outliers, retryBudget, log, counters, responseTimes, callerAges, decodeParts, quarantine, crashDetector, fleet, {} }
        , forwarder(loop, context, catalog, random)
        , endpoint(freeEndpoint())
        , callerServer(loop, endpoint, HttpServerLimits(), [this](std::shared_ptr<HttpExchange> exchange) { forwarder.handle(std::move(exchange)); })
        , client(loop, std::chrono::seconds(20))
        , ticker(loop.every(std::chrono::milliseconds(20), [this] { forwarder.tick(); }))
    {
    }

    ScriptedServer& addServer(ScriptedServer::Script script, std::uint32_t slots = 8, ReadBeforeResponse reading = ReadBeforeResponse::WholeRequest)
    {
        servers.push_back(std::make_unique<ScriptedServer>(loop, std::move(script), reading));
        ServerRecord record;
        record.id = "s" + std::to_string(servers.size());
        record.service = service;
        record.address = servers.back()->endpoint();
        record.slots = slots;
        snapshot.servers.push_back(record);
        ++snapshot.position.revision;
        fleet.apply(snapshot, clock.now());
        return *servers.back();
    }

    void setRoute(Route route)
    {
        route.host = "host.example";
        route.prefix = "/r/";
        route.services = { { service, 1 } };
        catalog.applyIfNewer({ std::make_shared<Catalog>(catalog.version() + 1, std::vector<Route> { route }, std::vector<ServiceSpecification> {}, customers, CallerLimits()), "" });
    }

    HttpRequest request(const std::string& id) const
    {
        HttpRequest result;
        result.method = "POST";
        result.target = "/r/x";
        result.headers = { { "Host", "host.example" }, { names.requestId, id }, { names.deadline, "3000" } };
        result.body = "body of " + id;
        return result;
    }

    // Sends a request without waiting for its response.
    std::shared_ptr<CallerResult> start(const HttpRequest& request)
    {
        auto result = std::make_shared<CallerResult>();
        HttpResponseHandlers handlers;
        handlers.onHead = [result](const HttpResponse& head) {
            result->status = head.status;
            result->headers = head.headers;
        };
        handlers.onBody = [result](std::string_view part) { result->body += part; };
        handlers.onEnd = [result] { result->isComplete = result->isDone = true; };
        handlers.onFailure = [result](const HttpFailure&) { result->isDone = true; };
        calls.push_back(client.stream(endpoint, request, handlers));
        return result;
    }

    // Runs the event loop until the condition is true or a timeout has passed. Returns whether the condition is true.
    bool runUntil(const std::function<bool()>& condition) { return runLoopUntil(loop, condition); }

    CallerResult call(const HttpRequest& request)
    {
        std::shared_ptr<CallerResult> result = start(request);
        runUntil([&] { return result->isDone; });
        return *result;
    }

    static std::string responseTo(const HttpRequest& request, const std::string& body, int status = 200)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + findHeader(request.headers, "Request-Id").value_or("") + "\r\nSignature: sig\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string streamHead(const HttpRequest& request)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + findHeader(request.headers, "Request-Id").value_or("")
            + "\r\nSignature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static std::string chunk(const std::string& data)
    {
        std::string digits = "0123456789abcdef";
        std::string size;
        for (std::size_t left = data.size(); left > 0; left /= 16)
            size.insert(size.begin(), digits[left % 16]);
        return size + "\r\n" + data + "\r\n";
    }

    static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n"; }

    SystemClock clock;
    EventLoop loop;
    Random random { 7 };
    HeaderNames names { testHeaderNames() };
    CustomerList customers;
    CatalogHolder catalog;
    FleetView fleet;
    InFlightTracker loads;
    OutlierDetector outliers;
    ServerRateLimits rateLimits;
    ServerSelector serverSelector;
    UpstreamPool pool;
    ResponseBuffers responseBuffers { 64U << 20U };
    ServiceRetryBudget retryBudget;
    DecisionLog log;
    ForwardingCounters counters;
    ResponseTimes responseTimes { {} };
    CallerAgeEstimator callerAges;
    PromptQuarantine quarantine;
    CrashDetector crashDetector;
    ForwardingContext context;
    Forwarder forwarder;
    Endpoint endpoint;
    HttpServer callerServer;
    HttpClient client;
    std::unique_ptr<Timer> ticker;
    FleetSnapshot snapshot;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<std::unique_ptr<HttpCall>> calls;

private:
    // The test format of prompt parts is a list of decimal numbers.
    static std::vector<PromptPart> decodeParts(std::string_view text)
    {
        std::vector<PromptPart> parts;
        std::istringstream input { std::string(text) };
        for (std::string number; std::getline(input, number, ',');)
            parts.push_back(std::stoull(number));
        return parts;
    }

    static int openDevNull() { return ::open("/dev/null", O_WRONLY); }
};

}
