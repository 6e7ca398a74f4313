#pragma once

#include "Calls/CallDriver.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Damaskgrade {

// Returns the event id "<call id>/<agent>/<offset>".
std::string formatStreamPosition(const StreamPosition& position);

// Parses an event id. Throws Error(MalformedRequest) if the text does not have the format above.
StreamPosition parseStreamPosition(std::string_view text);

enum class CompletionFormat {
    Text,
    Chat,
};

// A caller's request with valid syntax.
struct CallerRequest {
    CallKind kind { CallKind::Completion };
    CompletionFormat format { CompletionFormat::Text };
    // The name of the model or service.
    std::string target;
    std::string operation;
    std::string customer;
    std::string idempotencyKey;
    // Whether the caller may have sent this key before without learning the outcome. Set for any value of
    // Retry-Attempt other than "0".
    bool mayBeRetry { false };
    // The caller's X-Request-Id. It may be empty and is not necessarily unique. Responses don't repeat it:
    // their X-Request-Id is the call id.
    std::string requestId;
    std::optional<std::chrono::milliseconds> timeLeft;
    bool isStreamed { false };
    std::string prompt;
    std::uint32_t maxTokens { 0 };
    std::string payload;
    std::optional<StreamPosition> resumeFrom;
};

// Returns whether the request is marked as a retry, by any value of Retry-Attempt other than "0".
bool isRetryAttempt(const HttpRequest& request);

// Returns the execution status of a refused request. For a retry it is unknown, since an earlier attempt
// may have been executed.
Executed executedAfterRefusal(bool mayBeRetry);

// Parses a request to /v1/completions, /v1/chat/completions or /v1/services/{service}/{operation}.
// Throws Error(MalformedRequest, InvalidDeadline or UnknownRoute).
CallerRequest parseCallerRequest(const HttpRequest& request);

}
