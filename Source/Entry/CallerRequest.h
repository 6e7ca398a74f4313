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

// Throws Error(MalformedRequest) if the text is no event id of this system.
StreamPosition parseStreamPosition(std::string_view text);

enum class CompletionShape {
    Text,
    Chat,
};

// A caller's request after its syntax was checked.
struct CallerRequest {
    CallKind kind { CallKind::Completion };
    CompletionShape shape { CompletionShape::Text };
    // The model, or the service.
    std::string target;
    std::string operation;
    std::string customer;
    std::string idempotencyKey;
    // The caller has sent this key before (Retry-Attempt above zero) and does not know the outcome.
    bool mayBeRetry { false };
    // The caller's own id of the request, for logs. It may be empty or sent twice.
    std::string requestId;
    std::optional<std::chrono::milliseconds> timeLeft;
    bool isStreamed { false };
    std::string prompt;
    std::uint32_t maxTokens { 0 };
    std::string payload;
    std::optional<StreamPosition> resumeFrom;
};

// Whether the caller says that it has sent the request before (Retry-Attempt above zero).
bool isRetryAttempt(const HttpRequest& request);

// What a refusal may say of the execution of a request. An earlier send of a repeated one may have run.
Executed executedAfterRefusal(bool mayBeRetry);

// Reads a request to /v1/completions, /v1/chat/completions or /v1/services/{service}/{operation}.
// Throws Error(MalformedRequest, InvalidDeadline or UnknownRoute).
CallerRequest parseCallerRequest(const HttpRequest& request);

}
