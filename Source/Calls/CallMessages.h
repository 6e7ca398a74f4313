#pragma once

#include "Core/ResultCode.h"
#include "Transport/Frame.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

// The right to start one call at one agent. It names the incarnation of the agent,
// so that a ticket from before a restart never starts a call.
struct Ticket {
    std::string agent;
    std::string incarnation;
    std::uint64_t session { 0 };
    std::uint64_t sequence { 0 };
};

bool operator==(const Ticket& left, const Ticket& right);
bool operator<(const Ticket& left, const Ticket& right);

// The first message in both directions of a link.
struct HelloMessage {
    static constexpr const char* type = "hello";
    std::string name;
    std::string incarnation;
    std::string availabilityZone;
    // "entry" or "agent".
    std::string role;
    // Agents only: "model" or "application", the model or service, and the model group.
    std::string engineKind;
    std::string serves;
    std::string group;
    // Names of all agents of the model group.
    std::vector<std::string> groupMembers;
};

// What an engine reports of itself. Lags behind the truth.
struct LoadReport {
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    // Calls that the engine can run at the same time.
    std::uint32_t capacity { 0 };
    // Mean duration of the last decoding steps.
    std::chrono::microseconds stepTime { 0 };
    // Time since the engine took the figures.
    std::chrono::milliseconds age { 0 };
};

enum class CacheEventKind {
    Stored,
    Evicted,
};

// A change of an engine's prefix cache. A missing sequence number is a gap.
struct CacheEvent {
    std::uint64_t sequence { 0 };
    CacheEventKind kind { CacheEventKind::Stored };
    std::uint64_t prefixHash { 0 };
};

enum class EngineHealth {
    Good,
    // The engine has calls and has made no progress with any of them for a while.
    Stalled,
    // The engine does not answer.
    Unavailable,
};

// Issues tickets to an entry, or only reports load if the count is zero.
struct TicketsMessage {
    static constexpr const char* type = "tickets";
    std::uint64_t session { 0 };
    std::uint64_t firstSequence { 0 };
    std::uint64_t count { 0 };
    LoadReport load;
    std::vector<CacheEvent> cacheEvents;
    bool isDraining { false };
    EngineHealth health { EngineHealth::Good };
    // Step-time skew between the ranks of the group, as its controller told the agent; 1 if unknown.
    double groupSkew { 1 };
};

enum class CallKind {
    Completion,
    Service,
};

struct CallMessage {
    static constexpr const char* type = "call";
    std::string callId;
    std::uint32_t attempt { 0 };
    Ticket ticket;
    std::uint64_t configurationVersion { 0 };
    std::chrono::milliseconds timeLeft { 0 };
    CallKind kind { CallKind::Completion };
    // The operation of a service; empty for a completion.
    std::string operation;
    std::string customer;
    // Passed on to the engine; empty for idempotent calls.
    std::string idempotencyKey;
    std::int32_t priority { 0 };
    // The body of the caller's request.
    std::string payload;
    // The answer so far, if the call is resumed after another engine was lost.
    std::string resumeText;
};

// The call did not start and never will under this ticket.
struct RefusedMessage {
    static constexpr const char* type = "refused";
    std::string callId;
    std::uint32_t attempt { 0 };
    ResultCode code { ResultCode::TicketInvalid };
    std::string detail;
};

// A part of an answer. The offset counts bytes of text from the start of the whole answer.
struct PartMessage {
    static constexpr const char* type = "part";
    std::string callId;
    std::uint32_t attempt { 0 };
    std::uint64_t offset { 0 };
    std::string text;
};

// The end of an answer. Any code but Ok means that the call was started and failed.
struct EndMessage {
    static constexpr const char* type = "end";
    std::string callId;
    std::uint32_t attempt { 0 };
    std::uint64_t total { 0 };
    ResultCode code { ResultCode::Ok };
    std::string detail;
};

struct CancelMessage {
    static constexpr const char* type = "cancel";
    std::string callId;
    std::uint32_t attempt { 0 };
};

// Asks an agent what became of a ticket. An unspent ticket is revoked by this.
struct ResolveMessage {
    static constexpr const char* type = "resolve";
    std::string queryId;
    Ticket ticket;
};

enum class CallState {
    NotStarted,
    Running,
    Done,
    Unknown,
};

struct ResolutionMessage {
    static constexpr const char* type = "resolution";
    std::string queryId;
    CallState state { CallState::Unknown };
    // For CallState::Done: the result and the whole answer.
    ResultCode code { ResultCode::Ok };
    std::string answer;
};

// Asks for the parts of a running or finished call from an offset on. They come as
// part and end messages with the call id of this message.
struct FetchMessage {
    static constexpr const char* type = "fetch";
    std::string callId;
    std::string originalCallId;
    std::uint64_t offset { 0 };
    // The stream is sent only if it belongs to this customer.
    std::string customer;
};

// Each decode function throws Error(BadFrame) if the body does not fit the type.
Frame encodeMessage(const HelloMessage& message, HybridTime time);
Frame encodeMessage(const TicketsMessage& message, HybridTime time);
Frame encodeMessage(const CallMessage& message, HybridTime time);
Frame encodeMessage(const RefusedMessage& message, HybridTime time);
Frame encodeMessage(const PartMessage& message, HybridTime time);
Frame encodeMessage(const EndMessage& message, HybridTime time);
Frame encodeMessage(const CancelMessage& message, HybridTime time);
Frame encodeMessage(const ResolveMessage& message, HybridTime time);
Frame encodeMessage(const ResolutionMessage& message, HybridTime time);
Frame encodeMessage(const FetchMessage& message, HybridTime time);

HelloMessage decodeHello(ByteView body);
TicketsMessage decodeTickets(ByteView body);
CallMessage decodeCall(ByteView body);
RefusedMessage decodeRefused(ByteView body);
PartMessage decodePart(ByteView body);
EndMessage decodeEnd(ByteView body);
CancelMessage decodeCancel(ByteView body);
ResolveMessage decodeResolve(ByteView body);
ResolutionMessage decodeResolution(ByteView body);
FetchMessage decodeFetch(ByteView body);

}
