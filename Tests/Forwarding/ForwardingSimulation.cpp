#include "Forwarding/ForwardingSimulation.h"

#include <fcntl.h>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr const char* service = "app";
constexpr std::chrono::milliseconds tickPeriod { 50 };

HeaderNames makeHeaderNames()
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
    return names;
}

CatalogPointer makeCatalog(RequestKind kind, std::uint32_t maxAttempts)
{
    Route route;
    route.name = "r";
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(8000);
    route.targetLatency = std::chrono::milliseconds(400);
    route.maxAttempts = maxAttempts;
    route.isResumable = kind == RequestKind::Streaming;
    route.services = { { service, 1 } };
    return std::make_shared<Catalog>(1, std::vector<Route> { route }, std::vector<ServiceSpecification> {}, std::nullopt, CallerLimits());
}

std::string responseHead(int status, std::string_view id)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + std::string(id) + "\r\n";
}

}

SimulatedExchange::SimulatedExchange(HttpRequest request)
    : request_(std::move(request))
{
}

void SimulatedExchange::disconnect()
{
    std::function<void()> handler = std::move(onClose_);
    if (handler)
        handler();
}

ForwardingSimulation::ForwardingSimulation(RequestKind kind, std::uint32_t maxAttempts, std::size_t serverCount, std::uint32_t slots)
    : retryBudget(clock, ServiceRetryBudgetSettings())
    , names_(makeHeaderNames())
    , fleet_(clock, {}, [](const ServerRecord&) {})
    , loads_(clock, std::chrono::seconds(1))
    , outliers_(clock, OutlierSettings())
    , rateLimits_(clock, "test", {}, nullptr)
    , selector_(clock, fleet_, loads_, outliers_, rateLimits_, random_, {})
    , pool_(clock, {}, [this] { return makeConnection(); })
    , responseBuffers_(64U << 20U)
    , log_(clock, ::open("/dev/null", O_WRONLY), "test")
    , responseTimes_({})
    , quarantine_(clock, "test", {}, nullptr)
    , crashDetector_(clock, quarantine_, [this] { return makeConnection(); }, {})
    , context_ { clock, names_, loads_, selector_, rateLimits_, pool_, responseBuffers_, outliers_, retryBudget, log_, counters, responseTimes_, callerAges_,
        [](std::string_view) { return std::vector<PromptPart>(); }, quarantine_, crashDetector_, fleet_, {} }
    , catalog_(makeCatalog(kind, maxAttempts))
{
    FleetSnapshot snapshot;
    for (std::size_t i = 1; i <= serverCount; ++i) {
        ServerRecord record;
        record.id = "s" + std::to_string(i);
        record.service = service;
        record.address = { "127.0.0.1", static_cast<std::uint16_t>(i) };
        record.slots = slots;
        snapshot.servers.push_back(record);
    }
    snapshot.position.revision = 1;
    fleet_.apply(snapshot, clock.now());
}

std::shared_ptr<UpstreamConnection> ForwardingSimulation::makeConnection()
{
    return connections_.emplace_back(std::make_shared<SimulatedConnection>(names_.requestId, acceptsConnections_));
}

std::shared_ptr<SimulatedExchange> ForwardingSimulation::start(const std::string& id)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/r/x";
    request.headers = { { "Host", "host.example" }, { names_.requestId, id } };
    auto exchange = std::make_shared<SimulatedExchange>(request);
    RequestOptions options;
    options.catalog = catalog_;
    options.route = &catalog_->routes().front();
    options.service = service;
    auto forwarded = std::make_shared<ForwardedRequest>(context_, exchange, std::move(options), [this](ForwardedRequest* done) {
        requests_.erase(std::remove_if(requests_.begin(), requests_.end(), [done](const auto& request) { return request.get() == done; }), requests_.end());
    });
    requests_.push_back(forwarded);
    forwarded->start();
    return exchange;
}

void ForwardingSimulation::advance(std::chrono::milliseconds time)
{
    for (std::chrono::milliseconds passed { 0 }; passed < time; passed += tickPeriod) {
        clock.advance(tickPeriod);
        std::vector<std::shared_ptr<ForwardedRequest>> requests = requests_;
        for (const std::shared_ptr<ForwardedRequest>& request : requests)
            request->tick();
    }
}

std::size_t ForwardingSimulation::sentRequests() const
{
    std::size_t count = 0;
    for (const std::shared_ptr<SimulatedConnection>& connection : connections_)
        count += connection->requests().size();
    return count;
}

std::vector<std::shared_ptr<SimulatedConnection>> ForwardingSimulation::usedConnections() const
{
    std::vector<std::shared_ptr<SimulatedConnection>> used;
    std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(used), [](const auto& connection) { return !connection->requests().empty(); });
    return used;
}

std::string ForwardingSimulation::refusal(std::string_view id)
{
    return responseHead(503, id) + "Not-Executed: full\r\nContent-Length: 4\r\n\r\nfull";
}

std::string ForwardingSimulation::refusalWithoutId()
{
    return "HTTP/1.1 503 X\r\nNot-Executed: full\r\nContent-Length: 4\r\n\r\nfull";
}

std::string ForwardingSimulation::success(std::string_view id, std::string_view body)
{
    return responseHead(200, id) + "Signature: sig\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string ForwardingSimulation::streamHead(std::string_view id)
{
    return responseHead(200, id) + "Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string ForwardingSimulation::chunk(std::string_view data)
{
    constexpr int decimalBase = 10;
    constexpr int hexBase = 16;
    std::size_t high = data.size() / hexBase;
    std::size_t low = data.size() % hexBase;
    auto digit = [](std::size_t value) { return static_cast<char>(value < decimalBase ? '0' + value : 'a' + value - decimalBase); };
    return std::string { digit(high), digit(low) } + "\r\n" + std::string(data) + "\r\n";
}

std::string ForwardingSimulation::event(int number)
{
    return chunk("id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n");
}

std::string ForwardingSimulation::streamEnd()
{
    return "0\r\n\r\n";
}

}
