#include "Entry/CallerRequest.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxHeaderValueBytes = 256;
constexpr std::int64_t maxDeadlineMilliseconds = 24LL * 3600 * 1000;
constexpr std::uint32_t defaultMaxTokens = 64;
constexpr std::uint32_t maxTokensLimit = 100000;
constexpr std::string_view servicesPrefix = "/v1/services/";

std::string headerOr(const HttpRequest& request, std::string_view name, std::string_view fallback)
{
    std::optional<std::string> value = findHeader(request.headers, name);
    if (!value)
        return std::string(fallback);
    if (value->size() > maxHeaderValueBytes)
        throw Error(ResultCode::MalformedRequest, std::string(name) + " is longer than " + std::to_string(maxHeaderValueBytes) + " bytes");
    return *value;
}

std::optional<std::chrono::milliseconds> readDeadline(const HttpRequest& request)
{
    std::string text = headerOr(request, "Request-Deadline-Ms", "");
    if (text.empty())
        return std::nullopt;
    std::int64_t value = 0;
    auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    bool isNumber = failure == std::errc() && end == text.data() + text.size();
    if (!isNumber || value <= 0 || value > maxDeadlineMilliseconds)
        throw Error(ResultCode::InvalidDeadline, "Request-Deadline-Ms is \"" + text + "\"; expected the time left in milliseconds, from 1 to " + std::to_string(maxDeadlineMilliseconds));
    return std::chrono::milliseconds(value);
}

// Joins the messages of a chat into one prompt.
std::string chatPrompt(const Json& body)
{
    std::string prompt;
    for (const Json& message : body.at("messages"))
        prompt += message.at("role").get<std::string>() + ": " + message.at("content").get<std::string>() + "\n";
    return prompt;
}

void readCompletion(const HttpRequest& request, CallerRequest& result)
{
    try {
        Json body = Json::parse(request.body);
        result.target = body.at("model").get<std::string>();
        result.prompt = result.format == CompletionFormat::Chat ? chatPrompt(body) : body.at("prompt").get<std::string>();
        result.maxTokens = body.value("max_tokens", defaultMaxTokens);
        result.isStreamed = body.value("stream", false);
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::MalformedRequest, std::string("the request body is not a completion request: ") + failure.what());
    }
    if (result.maxTokens == 0 || result.maxTokens > maxTokensLimit)
        throw Error(ResultCode::MalformedRequest, "max_tokens is " + std::to_string(result.maxTokens) + "; expected a number from 1 to " + std::to_string(maxTokensLimit));
    result.payload = Json { { "prompt", result.prompt }, { "max_tokens", result.maxTokens } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void readService(const HttpRequest& request, std::string_view path, CallerRequest& result)
{
    std::string_view rest = path.substr(servicesPrefix.size());
    std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == rest.size() || rest.find('/', slash + 1) != std::string_view::npos)
        throw Error(ResultCode::UnknownRoute, "expected the path /v1/services/{service}/{operation}");
    result.kind = CallKind::Service;
    result.target = percentDecode(rest.substr(0, slash));
    result.operation = percentDecode(rest.substr(slash + 1));
    result.payload = request.body;
}

}

std::string formatStreamPosition(const StreamPosition& position)
{
    return position.originalCallId + "/" + position.agent + "/" + std::to_string(position.offset);
}

StreamPosition parseStreamPosition(std::string_view text)
{
    std::size_t first = text.find('/');
    std::size_t last = text.rfind('/');
    if (first == std::string_view::npos || first == last)
        throw Error(ResultCode::MalformedRequest, "Last-Event-ID is not an event id of this service");
    StreamPosition position;
    position.originalCallId = std::string(text.substr(0, first));
    position.agent = std::string(text.substr(first + 1, last - first - 1));
    std::string_view digits = text.substr(last + 1);
    auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), position.offset);
    if (failure != std::errc() || end != digits.data() + digits.size())
        throw Error(ResultCode::MalformedRequest, "Last-Event-ID does not end with a valid offset");
    return position;
}

bool isRetryAttempt(const HttpRequest& request)
{
    return findHeader(request.headers, "Retry-Attempt").value_or("0") != "0";
}

Executed executedAfterRefusal(bool mayBeRetry)
{
    return mayBeRetry ? Executed::Unknown : Executed::No;
}

CallerRequest parseCallerRequest(const HttpRequest& request)
{
    CallerRequest result;
    result.customer = headerOr(request, "X-Customer", "");
    result.idempotencyKey = headerOr(request, "Idempotency-Key", "");
    result.mayBeRetry = isRetryAttempt(request);
    result.requestId = headerOr(request, "X-Request-Id", "");
    result.timeLeft = readDeadline(request);
    std::string lastEvent = headerOr(request, "Last-Event-ID", "");
    if (!lastEvent.empty())
        result.resumeFrom = parseStreamPosition(lastEvent);
    std::string_view path = pathOf(request.target);
    if (path.substr(0, servicesPrefix.size()) == servicesPrefix) {
        readService(request, path, result);
        return result;
    }
    if (path == "/v1/chat/completions")
        result.format = CompletionFormat::Chat;
    else if (path != "/v1/completions")
        throw Error(ResultCode::UnknownRoute, "\"" + std::string(path) + "\" is not a path of this API");
    readCompletion(request, result);
    return result;
}

}
