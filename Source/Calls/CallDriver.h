#pragma once

#include "Calls/AnswerAssembler.h"
#include "Calls/CallEnvelopes.h"
#include "Calls/ClaimStore.h"
#include "Calls/HedgePolicy.h"
#include "Calls/RetryBudget.h"
#include "Core/Clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Position in a stream that was started through another entry, from the caller's Last-Event-ID header.
struct StreamPosition {
    std::string agent;
    std::string originalCallId;
    // In bytes from the start of the complete answer.
    std::uint64_t offset { 0 };
};

// One admitted call of a caller.
struct CallRequest {
    // Must be unique over all entries and must never be reused. An id from the caller is not sufficient, because
    // the caller may send it twice.
    std::string callId;
    CallKind kind { CallKind::Completion };
    std::string service;
    std::string operation;
    std::string customer;
    std::int32_t priority { 0 };
    std::string payload;
    bool isIdempotent { true };
    // Required for a call that is not idempotent.
    std::string idempotencyKey;
    // Whether the caller may have sent the request before without receiving the outcome. The earlier request may
    // be in a paused entry that can continue at any time, so this one is never reported as not executed, except
    // when it is rejected as invalid.
    bool mayBeRetry { false };
    TimePoint deadline;
    // Set if the caller reconnects to receive the rest of a stream.
    std::optional<StreamPosition> position;
};

// Final outcome of a call.
struct CallOutcome {
    ResultCode code { ResultCode::OutcomeUnknown };
    // Whether this request was executed. No is reported only if it is certain that no attempt was started.
    Executed executed { Executed::Unknown };
    // The text that was delivered to the caller. For a service call, its complete answer.
    std::string answer;
};

struct CallDriverSettings {
    // Maximum size of buffered parts that arrived before an earlier part, in bytes.
    std::size_t maxEarlyBytes { 256 * 1024 };
    // An idempotent call is sent to another agent if no part arrives for this time.
    Duration stallLimit { std::chrono::seconds(5) };
    // Interval at which the state of a ticket or a claim row is polled.
    Duration pollInterval { std::chrono::milliseconds(200) };
    // Time for the owner of a claim to finish before its ticket is resolved at the agent. Resolving revokes an
    // unspent ticket, so a shorter timeout would revoke tickets of owners that are merely slow.
    Duration claimOwnerTimeout { std::chrono::milliseconds(500) };
    // The outcome is reported as unknown if the agent can't be reached for this time.
    Duration unreachableTimeout { std::chrono::seconds(3) };
    // Maximum number of refused sends of one call. One more refusal ends the call with RetryBudgetSpent, or with
    // StreamInterrupted if text was delivered. If 60% of all sends are refused, 1% of the calls exceed this number.
    std::uint32_t maxRefusedSends { 8 };
    // A call is not sent again after this many engines in a row have failed while they executed it without any text,
    // since it may be the cause.
    std::uint32_t maxEngineFailures { 2 };
};

struct CallDriverHooks {
    // Selects an agent and takes its ticket with the lowest sequence number, because the agent reclaims the
    // highest first. Agents in tried should be selected only if there is no other. Returns no value if no ticket
    // is available.
    std::function<std::optional<Ticket>(const CallRequest&, const std::set<std::string>& tried)> takeTicket;
    // Returns a ticket to the pool. No message and no claim row contains the ticket.
    std::function<void(const Ticket&)> returnTicket;
    // Sends a message. Returns false if it was not sent because there is no link to the agent.
    std::function<bool(const std::string& agent, const EntryMessage&)> send;
    // Returns the configuration version in force.
    std::function<std::uint64_t()> configurationVersion;
    // Delivers text of a completion to the caller. agent and offset, the number of bytes up to the end of the text,
    // are used for the event id.
    std::function<void(std::string_view text, const std::string& agent, std::uint64_t offset)> onText;
    // Reports the outcome. Called exactly once. The driver must not be destroyed from inside a hook.
    std::function<void(const CallOutcome&)> onOutcome;
};

// Executes one call, from admission to its final outcome: takes tickets, writes the claim, sends, retries, hedges
// and resumes the call, and resolves its outcome after a lost link. Must be given all messages of agents for its
// call id. Messages for other calls are ignored.
class CallDriver {
public:
    // The referenced objects belong to the entry and must outlive the driver.
    CallDriver(CallRequest request, const Clock& clock, ClaimStore& claims, RetryBudget& budget, HedgePolicy& hedges, CallDriverSettings settings, CallDriverHooks hooks);

    void start();

    void receiveRefused(const RefusedMessage& message);
    void receivePart(const PartMessage& message);
    void receiveEnd(const EndMessage& message);
    void receiveResolution(const ResolutionMessage& message);

    // The link to an agent closed. Messages that were sent on it may be lost.
    void linkClosed(const std::string& agent);
    // An agent reported that its engine, or the group of its engine, is stalled. An idempotent call is sent to
    // another agent.
    void engineStalled(const std::string& agent);
    // An agent issued new tickets.
    void ticketsAvailable();
    // The caller disconnected. An idempotent call is cancelled. A non-idempotent call that was sent continues,
    // because the caller may reconnect to get the outcome.
    void cancel();
    // Handles deadlines, timeouts and polling. Must be called about every 10 ms.
    void tick();

    bool isFinished() const { return phase_ == Phase::Finished; }
    const CallRequest& request() const { return request_; }
    // Number of call messages that were sent, including retries and hedges.
    std::uint32_t sends() const { return sends_; }

private:
    enum class Phase {
        Created,
        // Waits until a ticket is available.
        AwaitingTicket,
        // Waits for the claim row, which is read before the first attempt.
        ReadingClaim,
        // Waits until the claim is written.
        Claiming,
        // At least one attempt was sent.
        Sent,
        // The link or part of the answer was lost. Polls the agent for the state of the ticket.
        Resolving,
        // Another request owns the claim. Polls the claim row and then the agent.
        AwaitingClaimOwner,
        // Receives the rest of a stream that was started through another entry.
        Fetching,
        Finished,
    };

    struct Attempt {
        Ticket ticket;
        TimePoint sentAt;
        TimePoint lastProgress;
        // Each attempt of a service call has a separate assembler. The attempts of a completion share one, because
        // each continues the same answer.
        std::shared_ptr<AnswerAssembler> assembler;
        std::string text;
        // Whether a part or the end was received, which means that the agent started the call.
        bool isStarted { false };
    };

    enum class RetryCause {
        // An agent refused the call and did not start it.
        Refused,
        // The link or the answer was lost, or the claim was taken over from another owner.
        Lost,
    };

    using Attempts = std::map<std::uint32_t, Attempt>;

    bool isCompletion() const { return request_.kind == CallKind::Completion; }
    bool isPastDeadline() const { return clock_.now() >= request_.deadline; }
    // Returns No if it is certain that no attempt was started, otherwise Unknown.
    Executed executedSoFar() const;

    void takeTicket();
    void revokeTicket(const Ticket& ticket);
    void send(const Ticket& ticket);
    void retry(ResultCode code, RetryCause cause);
    bool isRetryAllowed(RetryCause cause);
    void recordStartedAttempt(Attempt& attempt);
    void hedge();

    void readClaim();
    void writeClaim(const Ticket& ticket);
    void claimWritten(const Ticket& ticket, const ClaimRecord& record, const ClaimResult& result);
    void handleExistingClaim(const ClaimRecord& record);
    void pollClaim();
    void closeClaim(ClaimState state, ResultCode code, const std::string& answer);

    void beginResolve(const Ticket& ticket);
    void pollTicket();
    void fetch();
    void checkAttempt(Attempts::iterator attempt);
    void checkFetch();
    void engineFailed(Attempts::iterator attempt, ResultCode code);
    void attemptLost(Attempts::iterator attempt, ResultCode code);
    void replaceSilentAttempt(Attempts::iterator attempt);
    void attemptNotStarted(Attempts::iterator attempt, ResultCode code, RetryCause cause);
    void deliverText(const std::string& text, const std::string& agent);
    void cancelAttempts();
    void succeed(const std::string& answer);
    void finish(ResultCode code, Executed executed, const std::string& answer);

    CallRequest request_;
    const Clock& clock_;
    ClaimStore& claims_;
    RetryBudget& budget_;
    HedgePolicy& hedges_;
    CallDriverSettings settings_;
    CallDriverHooks hooks_;
    std::string rowKey_;

    Phase phase_ { Phase::Created };
    Attempts attempts_;
    std::uint32_t lastAttempt_ { 0 };
    std::uint32_t sends_ { 0 };
    std::uint32_t refusedSends_ { 0 };
    // Engine failures since the last text.
    std::uint32_t engineFailures_ { 0 };
    std::set<std::string> tried_;
    // Whether an attempt was sent that may have started and was lost.
    bool mayHaveStarted_ { false };
    bool isHedged_ { false };
    bool isCallerDisconnected_ { false };

    // Assembles the answer of a completion from all attempts.
    std::shared_ptr<AnswerAssembler> stream_;
    // The text of a completion that was delivered to the caller.
    std::string text_;
    TimePoint lastFetchProgress_;
    bool isFetchSent_ { false };

    // The claim row as last written or read by this driver. The next write expects this record.
    std::optional<ClaimRecord> claim_;

    // The current resolve request: the ticket, the number in its query id, and times.
    Ticket queryTicket_;
    std::uint32_t lastQuery_ { 0 };
    TimePoint ownerAwaitedSince_;
    TimePoint lastReachableAt_;
    TimePoint nextPoll_;

    // Destroyed with the driver. Callbacks of the store hold a weak reference to detect this.
    std::shared_ptr<int> alive_ { std::make_shared<int>(0) };
};

}
