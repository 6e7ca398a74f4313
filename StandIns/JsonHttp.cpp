#include "StandIns/JsonHttp.h"

#include "Core/Error.h"

#include <charconv>

namespace Damaskgrade {

using Json = nlohmann::json;

void respondJson(HttpExchange& exchange, int status, const Json& document)
{
    exchange.respond({ status, { { "Content-Type", "application/json" } }, document.dump() });
}

void respondError(HttpExchange& exchange, int status, const std::string& message)
{
    respondJson(exchange, status, { { "error", message } });
}

Json parseJsonObject(const std::string& body)
{
    Json document = Json::parse(body, nullptr, false);
    if (!document.is_object())
        throw Error(ResultCode::MalformedRequest, "the body is not a JSON object");
    return document;
}

std::optional<std::string> pathAfter(const HttpRequest& request, std::string_view prefix)
{
    std::string_view path = pathOf(request.target);
    if (path.size() <= prefix.size() || path.substr(0, prefix.size()) != prefix)
        return std::nullopt;
    return percentDecode(path.substr(prefix.size()));
}

std::uint64_t numberParameter(const HttpRequest& request, std::string_view name, std::uint64_t defaultValue)
{
    std::optional<std::string> text = queryParameter(request.target, name);
    if (!text)
        return defaultValue;
    std::uint64_t value = 0;
    const char* end = text->data() + text->size();
    std::from_chars_result result = std::from_chars(text->data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        throw Error(ResultCode::MalformedRequest, "query parameter " + std::string(name) + " is not a number");
    return value;
}

void handleSafely(const std::shared_ptr<HttpExchange>& exchange, const HttpServer::Handler& handler)
{
    try {
        handler(exchange);
    } catch (const Error& failure) {
        respondError(*exchange, httpStatus(failure.code()), failure.what());
    } catch (const Json::exception& failure) {
        respondError(*exchange, httpStatus(ResultCode::MalformedRequest), failure.what());
    }
}

}
