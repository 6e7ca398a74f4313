#include "Process/CallerRequests.h"

#include "Process/SyncHttp.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

HttpRequest postRequest(const std::string& target, const Json& body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.push_back({ "X-Customer", "first" });
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = body.dump();
    return request;
}

}

HttpRequest completionRequest(const std::string& prompt, int maxTokens, bool isStreamed)
{
    return postRequest("/v1/completions", { { "model", "model" }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", isStreamed } });
}

HttpRequest lookupRequest()
{
    return postRequest("/v1/services/service/lookup", { { "part", "7400" } });
}

HttpRequest bookingRequest(const std::string& key)
{
    HttpRequest request = postRequest("/v1/services/service/book", { { "part", "7400" } });
    request.headers.push_back({ "Idempotency-Key", key });
    return request;
}

HttpRequest retriedBooking(const std::string& key)
{
    HttpRequest request = bookingRequest(key);
    request.headers.push_back({ "Retry-Attempt", "1" });
    return request;
}

CallerResult callEntry(const Endpoint& entry, const HttpRequest& request)
{
    HttpResponse response = exchangeHttp(entry, request);
    CallerResult result;
    result.status = response.status;
    result.body = response.body;
    if (response.status == 200)
        result.executed = "yes";
    Json problem = response.status == 200 ? Json() : Json::parse(response.body, nullptr, false);
    if (problem.is_object()) {
        result.code = problem.value("code", 0);
        result.executed = problem.value("executed", "unknown");
    }
    return result;
}

std::future<CallerResult> startCall(const Endpoint& entry, const HttpRequest& request)
{
    return std::async(std::launch::async, [entry, request] { return callEntry(entry, request); });
}

std::string completionText(const CallerResult& result)
{
    if (result.status != 200)
        return "";
    return Json::parse(result.body).at("choices").at(0).at("text").get<std::string>();
}

}
