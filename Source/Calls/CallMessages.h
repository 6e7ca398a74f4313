#pragma once

#include "Core/ResultCode.h"
#include "Transport/Frame.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

// Permission to start one call at one agent. Contains the incarnation of the agent,
// so that a ticket that was issued before a restart of the agent can't start a call.
struct Ticket {
    std::string agent;
    std::string incarnation;
    // Number that the agent gave to the link of one entry.
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
    // Role of the sender: "entry" or "agent".
    std::string role;
    // Sent by agents only. The kind is "model" or "application"; serves is the model or service; group is the
    // model group.
    std::string engineKind;
    std::string serves;
    std::string group;
    // Names of all agents of the model group.
    std::vector<std::string> groupMembers;
};

// Load as reported by an engine. Older than the current load of the engine.
struct LoadReport {
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    // Number of calls that the engine can run at the same time.
    std::uint32_t capacity { 0 };
    // Mean duration of recent decoding steps.
    std::chrono::microseconds stepTime { 0 };
    // Time since the engine measured these values.
    std::chrono::milliseconds age { 0 };
};

enum class CacheEventKind {
    Stored,
    Evicted,
};

// A change of an engine's prefix cache. A gap in the sequence numbers means that events were lost.
struct CacheEvent {
    std::uint64_t sequence { 0 };
    CacheEventKind kind { CacheEventKind::Stored };
    std::uint64_t prefixHash { 0 };
};

enum class EngineHealth {
    Good,
    // The engine has calls but has made no progress with any of them for some time.
    Stalled,
    // The engine does not respond.
    Unavailable,
};

// Issues tickets to an entry. With a count of zero it reports only load and health.
struct TicketsMessage {
    static constexpr const char* type = "tickets";
    std::uint64_t session { 0 };
    std::uint64_t firstSequence { 0 };
    std::uint64_t count { 0 };
    LoadReport load;
    std::vector<CacheEvent> cacheEvents;
    bool isDraining { false };
    EngineHealth health { EngineHealth::Good };
    // Step-time skew between the ranks of the group, as reported by the controller of the group. 1 if unknown.
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
    // Time until the deadline of the call when the message was sent.
    std::chrono::milliseconds timeLeft { 0 };
    CallKind kind { CallKind::Completion };
    // Operation of a service. Empty for a completion.
    std::string operation;
    std::string customer;
    // Forwarded to the engine. Empty for idempotent calls.
    std::string idempotencyKey;
    std::int32_t priority { 0 };
    // Body of the caller's request.
    std::string payload;
    // The answer so far, if the call resumes an attempt that was interrupted.
    std::string resumeText;
};

// Reports that the call did not start and never will with this ticket.
struct RefusedMessage {
    static constexpr const char* type = "refused";
    std::string callId;
    std::uint32_t attempt { 0 };
    ResultCode code { ResultCode::TicketInvalid };
    std::string detail;
};

// A part of an answer. The offset is in bytes from the start of the complete answer.
struct PartMessage {
    static constexpr const char* type = "part";
    std::string callId;
    std::uint32_t attempt { 0 };
    std::uint64_t offset { 0 };
    std::string text;
};

// The end of an answer. With Ok, the total is the length of the complete answer in bytes. Any other code means that the
// call was started and failed, or that a fetch failed; the total is then not used.
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

// Requests the state of the call of a ticket from an agent. The agent revokes the ticket if it is unspent.
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
    // Only for CallState::Done: the result and, if it is Ok, the complete answer.
    ResultCode code { ResultCode::Ok };
    std::string answer;
};

// Requests the text of a running or finished call from an offset on. The agent responds with part and end messages that
// have the call id of this message and attempt 0. If the text is not available, the end message has the code
// StreamNotFound.
struct FetchMessage {
    static constexpr const char* type = "fetch";
    std::string callId;
    std::string originalCallId;
    // In bytes from the start of the complete answer.
    std::uint64_t offset { 0 };
    // The agent sends the stream only if it belongs to this customer.
    std::string customer;
};

// Each decode function throws Error(BadFrame) if the body can't be decoded as a message of its type.
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
