#pragma once

#include "Calls/CallMessages.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Damaskgrade {

// Where a caller's earlier stream stopped, from its Last-Event-ID header.
struct StreamPosition {
    std::string callId;
    std::string agent;
    std::uint64_t offset { 0 };
};

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
    std::string callId;
    std::optional<std::chrono::milliseconds> timeLeft;
    bool isStreamed { false };
    std::string prompt;
    std::uint32_t maxTokens { 0 };
    std::string payload;
    std::optional<StreamPosition> resumeFrom;
};

// Reads a request to /v1/completions, /v1/chat/completions or /v1/services/{service}/{operation}.
// Throws Error(MalformedRequest, InvalidDeadline or UnknownRoute).
CallerRequest parseCallerRequest(const HttpRequest& request);

}
