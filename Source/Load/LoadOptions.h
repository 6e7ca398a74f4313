#pragma once

#include "Core/Endpoint.h"
#include "Core/ResultCode.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class LoadKind {
    Completion,
    Lookup,
    Booking,
};

struct LoadCustomer {
    std::string name;
    // Share of the calls, relative to the other customers.
    double weight { 1 };
};

// The outcome of one call, as its caller observed it.
struct LoadResult {
    LoadKind kind { LoadKind::Completion };
    std::string customer;
    std::string idempotencyKey;
    ResultCode code { ResultCode::Ok };
    Executed executed { Executed::Unknown };
    // Time to the end of the response. Like firstToken, measured from the scheduled start of the call.
    std::chrono::microseconds total { 0 };
    // Zero if no text was received.
    std::chrono::microseconds firstToken { 0 };
    std::vector<std::chrono::microseconds> tokenGaps;
    bool isOnTime { false };
    // The response ended normally, but the stream contained neither its end marker nor an error event.
    bool endedSilently { false };
    // The text differs from the expected text, its parts are not contiguous, or the response can't be parsed.
    bool isWrong { false };
    // Attempts after the first one, each after a lost connection.
    std::uint32_t retries { 0 };
};

// The load to generate and its limits.
struct LoadOptions {
    std::vector<Endpoint> entries;
    double callsPerSecond { 10 };
    std::chrono::milliseconds duration { 10000 };
    std::uint64_t maxCalls { 100000 };
    // Calls beyond this are not sent and are reported as Overloaded.
    std::size_t maxInFlight { 5000 };
    // Maximum time to wait for responses after the last arrival.
    std::chrono::milliseconds drainLimit { 30000 };
    std::uint64_t seed { 1 };
    // Relative shares of the call kinds.
    double completions { 1 };
    double lookups { 0 };
    double bookings { 0 };
    std::vector<LoadCustomer> customers { { "default", 1 } };
    std::string model;
    std::uint64_t minTokens { 16 };
    std::uint64_t maxTokens { 64 };
    // Prompts of one topic start with the same topicBytes bytes. The popular topics shift by one each drift period.
    std::size_t topics { 16 };
    std::size_t topicBytes { 512 };
    std::chrono::milliseconds driftPeriod { 60000 };
    std::string service;
    std::string lookupOperation { "lookup" };
    std::string bookingOperation { "book" };
    std::chrono::milliseconds deadline { 10000 };
    // Maximum number of attempts per call. A call whose connection is lost is retried at another entry:
    // a stream resumes with Last-Event-ID, a booking keeps its idempotency key.
    std::uint32_t maxAttempts { 3 };
    // Returns the text that the model is expected to generate. If not set, the text is not checked.
    std::function<std::string(const std::string& prompt, std::uint64_t maxTokens)> expectedAnswer;
    // Called with each result, for example to compare bookings with the executions of the service.
    std::function<void(const LoadResult&)> onResult;
};

// Throws Error(SettingsInvalid) that describes the first option that is out of range.
void checkLoadOptions(const LoadOptions& options);

std::string_view loadKindName(LoadKind kind);

}
