#pragma once

#include "Transport/HttpServer.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

// Sends a JSON document as the whole response.
void respondJson(HttpExchange& exchange, int status, const nlohmann::json& document);

// Sends {"error": message}.
void respondError(HttpExchange& exchange, int status, const std::string& message);

// Parses the body of a request. Throws Error(MalformedRequest) if it is no JSON object.
nlohmann::json parseJsonObject(const std::string& body);

// Returns the rest of the path after the prefix, percent-decoded, or nothing if the path does not start so.
std::optional<std::string> pathAfter(const HttpRequest& request, std::string_view prefix);

// Returns a query parameter as a number, or the default if it is absent. Throws Error(MalformedRequest).
std::uint64_t numberParameter(const HttpRequest& request, std::string_view name, std::uint64_t defaultValue);

// Runs a handler, and answers 400 if it throws because of a malformed request.
void handleSafely(const std::shared_ptr<HttpExchange>& exchange, const HttpServer::Handler& handler);

}
