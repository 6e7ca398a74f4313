#pragma once

#include "Transport/HttpServer.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

// Sends a response with a JSON document as its body.
void respondJson(HttpExchange& exchange, int status, const nlohmann::json& document);

// Sends a response with the body {"error": message}.
void respondError(HttpExchange& exchange, int status, const std::string& message);

// Parses the body of a request. Throws Error(MalformedRequest) if it is not a JSON object.
nlohmann::json parseJsonObject(const std::string& body);

// Returns the rest of the path after the prefix, percent-decoded, or nothing if the path doesn't begin with the prefix
// or has nothing after it.
std::optional<std::string> pathAfter(const HttpRequest& request, std::string_view prefix);

// Returns a query parameter as a number, or the default if it is absent.
// Throws Error(MalformedRequest) if the value is not an unsigned integer.
std::uint64_t numberParameter(const HttpRequest& request, std::string_view name, std::uint64_t defaultValue);

// Runs a handler. If it throws, responds with the HTTP status of the error, or with that of a malformed request if the
// JSON library threw.
void handleSafely(const std::shared_ptr<HttpExchange>& exchange, const HttpServer::Handler& handler);

}
