#pragma once

#include "Core/Endpoint.h"
#include "Transport/HttpMessage.h"

#include <future>
#include <string>

namespace Damaskgrade {

// The token of the team that owns all sections of the configuration document of a test deployment.
constexpr const char* operatorToken = "test-token";

// The result that a caller receives. Without a response, the status is 0 and executed is "unknown".
struct CallerResult {
    int status { 0 };
    // The result code of an error response, 0 if there is none.
    int code { 0 };
    // Whether the call was executed: "yes", "no" or "unknown".
    std::string executed { "unknown" };
    std::string body;
};

HttpRequest completionRequest(const std::string& prompt, int maxTokens, bool isStreamed);
HttpRequest lookupRequest();
HttpRequest bookingRequest(const std::string& key);
// Returns the same booking as a retry by a caller that doesn't know the outcome of the first attempt.
HttpRequest retriedBooking(const std::string& key);

// Sends a request to an entry and waits for the result.
CallerResult callEntry(const Endpoint& entry, const HttpRequest& request);
// Sends a request on a separate thread.
std::future<CallerResult> startCall(const Endpoint& entry, const HttpRequest& request);

// Returns the text of a completion that was not streamed, or an empty text if the call failed.
std::string completionText(const CallerResult& result);

}
