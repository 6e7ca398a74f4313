#pragma once

#include "Forwarding/HeaderNames.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;

// Returns whether the status implies to a caller that the request was not executed. Only a response that is marked as
// not executed proves it.
bool impliesNotExecuted(int status);

// Returns whether the response proves that the server did not execute the request.
bool isMarkedNotExecuted(const HttpResponse& head, const HeaderNames& names);

// Returns whether the status is that of a successful response.
bool isSuccess(int status);

// Returns whether a successful response has the signature of a backend server and its body was not re-encoded on the way.
bool isAuthentic(const HttpResponse& head, const HeaderNames& names);

// Returns whether only the end of its connection marks the end of the response.
bool endsWithConnection(const HttpResponse& head);

// Returns std::nullopt unless the text begins with a whole number of milliseconds that is not negative.
std::optional<std::chrono::milliseconds> parseMilliseconds(const std::optional<std::string>& text);

// Returns std::nullopt unless the text is a finite number that is not negative.
std::optional<double> parseNonNegative(std::string_view text);

// Formats a time in seconds with three decimal places.
std::string formatSeconds(std::chrono::milliseconds time);

}
