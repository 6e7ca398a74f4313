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

// Names a stream that another entry began, from the Last-Event-ID of the caller.
struct StreamPosition {
    std::string agent;
    std::string originalCallId;
    std::uint64_t offset { 0 };
};

// One call of a caller, after admission.
struct CallRequest {
    // Unique over all entries and for all time. A caller's own id does not suffice, because it may be sent twice.
    std::string callId;
    CallKind kind { CallKind::Completion };
    std::string service;
    std::string operation;
    std::string customer;
    std::int32_t priority { 0 };
    std::string payload;
    bool isIdempotent { true };
    // Required unless the call is idempotent.
    std::string idempotencyKey;
    // The caller sent the request before and does not know the outcome. The earlier send may be in a
    // paused entry and go on at any time, so this one is never reported as not executed.
    bool mayBeRetry { false };
    TimePoint deadline;
    // Set for a caller that comes back for the rest of a stream.
    std::optional<StreamPosition> position;
};

// The final outcome of a call.
struct CallOutcome {
    ResultCode code { ResultCode::OutcomeUnknown };
    // Whether this request was executed. No is reported only with positive proof.
    Executed executed { Executed::Unknown };
    // The text that was passed on; for a service call its whole answer.
    std::string answer;
};

struct CallDriverSettings {
    // Bytes of parts that may wait for an earlier part.
    std::size_t maxEarlyBytes { 256 * 1024 };
    // An idempotent call is sent to another agent after this time without a part.
    Duration stallLimit { std::chrono::seconds(5) };
    // Interval of the questions for a ticket or a claim row.
    Duration pollInterval { std::chrono::milliseconds(200) };
    // How long the owner of a claim may take before its ticket is resolved. Resolving revokes
    // the ticket if it is unspent, so a shorter time would race with owners that are only slow.
    Duration claimPatience { std::chrono::milliseconds(500) };
    // An agent that can't be reached for this time makes the outcome unknown.
    Duration unreachableLimit { std::chrono::seconds(3) };
    // A call that was refused more often fails. With 60% of all sends refused, 1% of the calls reach this number.
    std::uint32_t maxRefusedSends { 8 };
};

struct CallDriverHooks {
    // Chooses an agent and takes its ticket with the lowest sequence, because the agent reclaims the
    // highest first. Agents in the set were tried already and should be chosen only if there is no other.
    std::function<std::optional<Ticket>(const CallRequest&, const std::set<std::string>& tried)> takeTicket;
    // Gives back a ticket that no message and no claim row names.
    std::function<void(const Ticket&)> returnTicket;
    // Returns false if nothing was written to a link, because there is none to the agent.
    std::function<bool(const std::string& agent, const EntryMessage&)> send;
    // Returns the configuration version in force.
    std::function<std::uint64_t()> configurationVersion;
    // Text of a completion that may be passed on to the caller, the agent it came from, and the offset
    // after it, for the event id.
    std::function<void(std::string_view text, const std::string& agent, std::uint64_t offset)> onText;
    // Called exactly once. The driver must not be destroyed from inside a hook.
    std::function<void(const CallOutcome&)> onOutcome;
};

// Drives one call from admission to its final outcome: tickets, claim, sends, retries, hedge, resume
// and resolution. Receives all messages of agents for its call id; it ignores those of other calls.
class CallDriver {
public:
    // The clock, the store, the budget and the policy belong to the entry and outlive the driver.
    CallDriver(CallRequest request, const Clock& clock, ClaimStore& claims, RetryBudget& budget, HedgePolicy& hedges, CallDriverSettings settings, CallDriverHooks hooks);

    void start();

    void receiveRefused(const RefusedMessage& message);
    void receivePart(const PartMessage& message);
    void receiveEnd(const EndMessage& message);
    void receiveResolution(const ResolutionMessage& message);

    // The link to an agent closed. Messages sent on it may have been lost.
    void linkClosed(const std::string& agent);
    // An agent reports that its engine, or the group of its engine, makes no progress.
    // An idempotent call goes on elsewhere.
    void engineStalled(const std::string& agent);
    // An agent issued tickets.
    void ticketsAvailable();
    // The caller went away. An idempotent call is cancelled; a call that must not be repeated goes on,
    // because its caller may come back for the outcome.
    void cancel();
    // Handles deadlines and intervals. To be called about every 10 ms.
    void tick();

    bool isFinished() const { return phase_ == Phase::Finished; }
    const CallRequest& request() const { return request_; }
    // Calls that were sent, the first, retries and hedges.
    std::uint32_t sends() const { return sends_; }

private:
    enum class Phase {
        Created,
        // Needs a ticket.
        Waiting,
        // Reads the claim row before the first attempt.
        ReadingClaim,
        // Waits for the claim write.
        Claiming,
        // At least one attempt is sent.
        Sent,
        // The link was lost; asks the agent what became of its own ticket.
        Resolving,
        // Another owner has the claim.
        Following,
        // Receives the rest of a stream that another entry began.
        Fetching,
        Finished,
    };

    struct Attempt {
        Ticket ticket;
        TimePoint sentAt;
        TimePoint lastProgress;
        // Service calls have one for each attempt; the attempts of a completion continue one answer.
        std::shared_ptr<AnswerAssembler> assembler;
        std::string text;
        // Whether a part or the end shows that the agent started the call.
        bool isStarted { false };
    };

    enum class RetryCause {
        // An agent refused the call, so nothing was started.
        Refused,
        // The link or the answer was lost, or the call is taken over from another owner.
        Lost,
    };

    using Attempts = std::map<std::uint32_t, Attempt>;

    bool isCompletion() const { return request_.kind == CallKind::Completion; }
    bool isPastDeadline() const { return clock_.now() >= request_.deadline; }
    Executed executedSoFar() const;

    void takeTicket();
    void discardTicket(const Ticket& ticket);
    void send(const Ticket& ticket);
    void retry(ResultCode code, RetryCause cause);
    bool isRetryAllowed(RetryCause cause);
    void noteStarted(Attempt& attempt);
    void hedge();

    void readClaim();
    void writeClaim(const Ticket& ticket);
    void claimWritten(const Ticket& ticket, const ClaimRecord& record, const ClaimResult& result);
    void followClaim(const ClaimRecord& record);
    void pollClaim();
    void closeClaim(ClaimState state, ResultCode code, const std::string& answer);

    void beginResolve(const Ticket& ticket);
    void pollTicket();
    void fetch();
    void checkAttempt(Attempts::iterator attempt);
    void checkFetch();
    void attemptLost(Attempts::iterator attempt, ResultCode code);
    void attemptNotStarted(Attempts::iterator attempt, ResultCode code, RetryCause cause);
    void passOn(const std::string& text, const std::string& agent);
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
    std::set<std::string> tried_;
    // Whether an attempt was sent of which it is not known that it never started.
    bool isUncertain_ { false };
    bool isHedged_ { false };
    bool isCallerGone_ { false };

    // The answer of a completion, over all attempts.
    std::shared_ptr<AnswerAssembler> stream_;
    std::string text_;
    TimePoint lastFetchProgress_;
    bool isFetchSent_ { false };

    // The claim row as this driver last wrote or read it, and the next write expects it.
    std::optional<ClaimRecord> claim_;

    // The question that is open: its ticket, id and times.
    Ticket queryTicket_;
    std::uint32_t lastQuery_ { 0 };
    TimePoint followedSince_;
    TimePoint lastReached_;
    TimePoint nextPoll_;

    // Expires with the driver. Callbacks of the store hold a weak reference.
    std::shared_ptr<int> alive_ { std::make_shared<int>(0) };
};

}
