#include "StandIns/ApplicationEngineRole.h"

#include "StandIns/JsonHttp.h"

#include <xxhash.h>

namespace Damaskgrade {

using Json = nlohmann::json;

ApplicationEngineRole::ApplicationEngineRole(EventLoop& loop, const ApplicationEngineOptions& options)
    : delayed_(loop)
    , options_(options)
    , faults_(
          loop, [this](const Exchange& exchange) { handle(exchange); },
          [](const HttpRequest& request) { return request.method == "POST"; })
    , server_(loop, options.listen, HttpServerLimits(), [this](const Exchange& exchange) { faults_.handle(exchange); })
{
}

void ApplicationEngineRole::handle(const Exchange& exchange)
{
    const HttpRequest& request = exchange->request();
    if (std::optional<std::string> operation = pathAfter(request, "/v1/operations/"))
        execute(exchange, *operation);
    else if (pathOf(request.target) == "/v1/executions")
        reportExecutions(*exchange);
    else if (pathOf(request.target) == "/v1/load")
        reportLoad(*exchange);
    else
        respondError(*exchange, 404, "unknown path");
}

void ApplicationEngineRole::execute(const Exchange& exchange, const std::string& operation)
{
    const HttpRequest& request = exchange->request();
    std::string key = findHeader(request.headers, "Idempotency-Key").value_or("");
    ++executions_[operation + "/" + key];
    Json response { { "service", options_.service }, { "operation", operation } };
    if (key.empty()) {
        // A call without a key is a lookup. Its response depends only on the request.
        response["result"] = XXH64(request.body.data(), request.body.size(), 0);
    } else {
        response["booking"] = options_.name + "-" + std::to_string(++bookings_);
    }
    ++running_;
    delayed_.run(options_.serviceTime, [this, exchange, response] {
        --running_;
        respondJson(*exchange, 200, response);
    });
}

void ApplicationEngineRole::reportLoad(HttpExchange& exchange)
{
    respondJson(exchange, 200, { { "running", running_ }, { "queued", 0 }, { "capacity", options_.capacity }, { "step_us", 0 }, { "age_ms", 0 } });
}

void ApplicationEngineRole::reportExecutions(HttpExchange& exchange)
{
    Json counts = Json::object();
    for (const auto& [executionKey, count] : executions_)
        counts[executionKey] = count;
    respondJson(exchange, 200, counts);
}

}
