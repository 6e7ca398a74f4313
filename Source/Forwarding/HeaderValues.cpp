#include "Forwarding/HeaderValues.h"

#include <charconv>
#include <cmath>
#include <cstdint>

namespace Damaskgrade {

bool impliesNotExecuted(int status)
{
    return status == 408 || status == statusMisdirected || status == 429 || status == statusUnavailable;
}

bool isMarkedNotExecuted(const HttpResponse& head, const HeaderNames& names)
{
    return findHeader(head.headers, names.notExecuted).has_value() || head.status == statusMisdirected;
}

bool isSuccess(int status)
{
    constexpr int firstFailureStatus = 300;
    return status < firstFailureStatus;
}

bool isAuthentic(const HttpResponse& head, const HeaderNames& names)
{
    std::optional<std::string> signature = findHeader(head.headers, names.signature);
    return signature && !signature->empty() && !findHeader(head.headers, "Content-Encoding");
}

bool endsWithConnection(const HttpResponse& head)
{
    return !findHeader(head.headers, "Content-Length") && !findHeader(head.headers, "Transfer-Encoding");
}

std::optional<std::chrono::milliseconds> parseMilliseconds(const std::optional<std::string>& text)
{
    if (!text)
        return std::nullopt;
    std::int64_t value = 0;
    std::from_chars_result result = std::from_chars(text->data(), text->data() + text->size(), value);
    if (result.ec != std::errc() || value < 0)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

std::optional<double> parseNonNegative(std::string_view text)
{
    double value = 0;
    std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
    bool isNumber = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return isNumber && std::isfinite(value) && value >= 0 ? std::optional<double>(value) : std::nullopt;
}

std::string formatSeconds(std::chrono::milliseconds time)
{
    std::string text = std::to_string(time.count() / 1000) + ".";
    std::string fraction = std::to_string(time.count() % 1000);
    return text + std::string(3 - fraction.size(), '0') + fraction;
}

}
