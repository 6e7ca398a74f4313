#pragma once

#include "Core/Endpoint.h"
#include "Transport/HttpMessage.h"

#include <future>
#include <string>

namespace Damaskgrade {

// The token of the team that owns all sections of a test deployment.
constexpr const char* operatorToken = "test-token";

// What a caller was told. Without a response, the status is 0 and executed is "unknown".
struct CallerResult {
    int status { 0 };
    int code { 0 };
    // "yes", "no" or "unknown".
    std::string executed { "unknown" };
    std::string body;
};

HttpRequest completionRequest(const std::string& prompt, int maxTokens, bool isStreamed);
HttpRequest lookupRequest();
HttpRequest bookingRequest(const std::string& key);
// The same booking, sent again by a caller that does not know what became of the first send.
HttpRequest retriedBooking(const std::string& key);

// Sends a request to an entry and waits for what the caller is told.
CallerResult callEntry(const Endpoint& entry, const HttpRequest& request);
std::future<CallerResult> startCall(const Endpoint& entry, const HttpRequest& request);

// Returns the text of a completion that was not streamed.
std::string completionText(const CallerResult& result);

}
