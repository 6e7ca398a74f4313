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

enum class CompletionShape {
    Text,
    Chat,
};

// A caller's request with valid syntax.
struct CallerRequest {
    CallKind kind { CallKind::Completion };
    CompletionShape shape { CompletionShape::Text };
    // The name of the model or service.
    std::string target;
    std::string operation;
    std::string customer;
    std::string idempotencyKey;
    // The caller has sent this key before (Retry-Attempt above zero) without learning the outcome.
    bool mayBeRetry { false };
    // The caller's request id, for logs. It may be empty and is not necessarily unique.
    std::string requestId;
    std::optional<std::chrono::milliseconds> timeLeft;
    bool isStreamed { false };
    std::string prompt;
    std::uint32_t maxTokens { 0 };
    std::string payload;
    std::optional<StreamPosition> resumeFrom;
};

// Returns whether the request is marked as a retry (Retry-Attempt above zero).
bool isRetryAttempt(const HttpRequest& request);

// Returns the execution status of a refused request. For a retry it is unknown, since an earlier attempt
// may have been executed.
Executed executedAfterRefusal(bool mayBeRetry);

// Parses a request to /v1/completions, /v1/chat/completions or /v1/services/{service}/{operation}.
// Throws Error(MalformedRequest, InvalidDeadline or UnknownRoute).
CallerRequest parseCallerRequest(const HttpRequest& request);

}
