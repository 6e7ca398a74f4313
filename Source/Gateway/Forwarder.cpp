#include "Gateway/Forwarder.h"

#include "Forwarding/FailureResponse.h"
#include "Forwarding/HeaderValues.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
// An entry that starts or shuts down; the caller finds another one in the directory at once.
constexpr std::chrono::milliseconds notReadyRetryAfter { 300 };

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

}

Forwarder::Forwarder(EventLoop& loop, ForwardingContext& context, const CatalogHolder& catalog, Random& random)
    : loop_(loop)
    , context_(context)
    , catalog_(catalog)
    , random_(random)
{
}

void Forwarder::handle(std::shared_ptr<HttpExchange> exchange)
{
    const HttpRequest& request = exchange->request();
    CatalogPointer catalog = catalog_.current();
    // The routes are not known before the first catalog, so do not respond that the route is unknown.
    if (!catalog) {
        respondWithError(*exchange, statusUnavailable, ResultCode::NotReady, "no catalog yet");
        return;
    }
    if (!findHeader(request.headers, context_.names.requestId)) {
        respondWithError(*exchange, statusBadRequest, ResultCode::MalformedRequest, "request has no id");
        return;
    }
    const Route* route = catalog->findRoute(findHeader(request.headers, "Host").value_or(""), pathOf(request.target));
    if (!route) {
        respondWithError(*exchange, statusNotFound, ResultCode::UnknownRoute, "no route for this host and path");
        return;
    }
    if (shutdownTime_ && context_.clock.now() + route->timeout > *shutdownTime_) {
        respondWithError(*exchange, statusUnavailable, ResultCode::InstanceDraining, "entry is shutting down");
        return;
    }
    RequestOptions requestOptions;
    requestOptions.priority = route->priority;
    if (catalog->requiresKey()) {
        std::string credentials = findHeader(request.headers, context_.names.credentials).value_or("");
        const CustomerKeys* customer = nullptr;
        if (startsWith(credentials, context_.names.keyScheme))
            customer = catalog->findCustomer(std::string_view(credentials).substr(context_.names.keyScheme.size()));
        if (!customer && !route->isPublic) {
            respondWithError(*exchange, statusUnauthorized, ResultCode::UnknownCustomer, "unknown key");
            return;
        }
        if (customer) {
            requestOptions.customer = customer->name;
            requestOptions.priority = customer->priority.value_or(route->priority);
        }
    }
    requestOptions.catalog = catalog;
    requestOptions.route = route;
    requestOptions.service = selectService(*route);
    auto forwarded = std::make_shared<ForwardedRequest>(context_, std::move(exchange), std::move(requestOptions), [this](ForwardedRequest* done) { requestDone(done); });
    active_.emplace(forwarded.get(), forwarded);
    forwarded->start();
}

void Forwarder::tick()
{
    std::vector<std::shared_ptr<ForwardedRequest>> requests;
    requests.reserve(active_.size());
    for (const auto& [pointer, request] : active_)
        requests.push_back(request);
    for (const std::shared_ptr<ForwardedRequest>& request : requests) {
        if (!request->isWaiting())
            request->tick();
    }
    processWaitQueue();
}

void Forwarder::requestDone(ForwardedRequest* request)
{
    active_.erase(request);
    bool isAnyWaiting = std::any_of(active_.begin(), active_.end(), [](const auto& entry) { return entry.second->isWaiting(); });
    if (isProcessingPosted_ || !isAnyWaiting)
        return;
    isProcessingPosted_ = true;
    loop_.post([this] {
        isProcessingPosted_ = false;
        processWaitQueue();
    });
}

// Sends queued requests, in the order of the wait queue, while servers are free, and ends requests that have waited
// too long.
void Forwarder::processWaitQueue()
{
    std::vector<std::pair<WaitQueueKey, std::shared_ptr<ForwardedRequest>>> waiting;
    for (const auto& [pointer, request] : active_) {
        if (request->isWaiting())
            waiting.emplace_back(request->waitQueueKey(), request);
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto& left, const auto& right) { return isServedBefore(left.first, right.first); });
    for (const auto& [waitQueueKey, request] : waiting)
        request->tick();
}

void Forwarder::respondWithError(HttpExchange& exchange, int status, ResultCode code, std::string_view detail)
{
    std::string id = findHeader(exchange.request().headers, context_.names.requestId).value_or("");
    std::optional<std::chrono::milliseconds> retryAfter;
    if (status == statusUnavailable)
        retryAfter = notReadyRetryAfter;
    LogLine line("requestRejected");
    line.add("request", id).add("status", status).add("code", resultNumber(code)).add("reason", detail).add("catalog", catalog_.version());
    line.add("host", findHeader(exchange.request().headers, "Host").value_or("")).add("path", pathOf(exchange.request().target));
    context_.log.write(line);
    exchange.respond(makeFailureResponse(context_.names, id, { status, code, Executed::No, detail, retryAfter }));
}

std::string Forwarder::selectService(const Route& route)
{
    std::uint64_t total = 0;
    for (const WeightedService& service : route.services)
        total += service.weight;
    if (total == 0)
        return route.services.empty() ? "" : route.services.front().service;
    std::uint64_t draw = random_.index(total);
    for (const WeightedService& service : route.services) {
        if (draw < service.weight)
            return service.service;
        draw -= service.weight;
    }
    return route.services.back().service;
}

}
