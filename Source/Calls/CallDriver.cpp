#include "Calls/CallDriver.h"

#include <utility>

namespace Damaskgrade {

namespace {

// Attempt number of fetched parts. The attempts of a sent call are numbered from 1.
constexpr std::uint32_t fetchAttempt = 0;

}

CallDriver::CallDriver(CallRequest request, const Clock& clock, ClaimStore& claims, RetryBudget& budget, HedgePolicy& hedges, CallDriverSettings settings, CallDriverHooks hooks)
    : request_(std::move(request))
    , clock_(clock)
    , claims_(claims)
    , budget_(budget)
    , hedges_(hedges)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , rowKey_(claimRowKey(request_.customer, request_.service, request_.operation, request_.idempotencyKey))
    , stream_(std::make_shared<AnswerAssembler>(request_.callId, settings_.maxEarlyBytes, request_.position ? request_.position->offset : 0))
{
}

void CallDriver::start()
{
    budget_.recordCall();
    if (!request_.isIdempotent && request_.idempotencyKey.empty()) {
        finish(ResultCode::MissingIdempotencyKey, Executed::No, {});
        return;
    }
    if (request_.position) {
        phase_ = Phase::Fetching;
        lastFetchProgress_ = clock_.now();
        stream_->beginAttempt(fetchAttempt);
        fetch();
        return;
    }
    // The claim is read before a ticket is taken, so that a stored answer is returned even if no ticket is available.
    if (!request_.isIdempotent && request_.mayBeRetry) {
        readClaim();
        return;
    }
    phase_ = Phase::AwaitingTicket;
    takeTicket();
}

void CallDriver::receiveRefused(const RefusedMessage& message)
{
    auto attempt = attempts_.find(message.attempt);
    if (message.callId != request_.callId || attempt == attempts_.end())
        return;
    ++refusedSends_;
    attemptNotStarted(attempt, message.code, RetryCause::Refused);
}

void CallDriver::receivePart(const PartMessage& message)
{
    if (phase_ == Phase::Fetching) {
        std::string text = stream_->accept(message);
        deliverText(text, request_.position->agent);
        checkFetch();
        return;
    }
    for (auto attempt = attempts_.begin(); attempt != attempts_.end(); ++attempt) {
        std::string text = attempt->second.assembler->accept(message);
        if (!text.empty()) {
            recordStartedAttempt(attempt->second);
            attempt->second.lastProgress = clock_.now();
            attempt->second.text += text;
            engineFailures_ = 0;
            if (isCompletion())
                deliverText(text, attempt->second.ticket.agent);
        }
        if (attempt->first == message.attempt) {
            checkAttempt(attempt);
            return;
        }
    }
}

void CallDriver::receiveEnd(const EndMessage& message)
{
    if (phase_ == Phase::Fetching) {
        stream_->acceptEnd(message);
        checkFetch();
        return;
    }
    for (auto attempt = attempts_.begin(); attempt != attempts_.end(); ++attempt) {
        if (attempt->second.assembler->acceptEnd(message)) {
            if (message.code == ResultCode::Ok)
                recordStartedAttempt(attempt->second);
            checkAttempt(attempt);
            return;
        }
    }
}

void CallDriver::receiveResolution(const ResolutionMessage& message)
{
    bool isResolutionExpected = phase_ == Phase::Resolving || phase_ == Phase::AwaitingClaimOwner;
    if (!isResolutionExpected || message.queryId != request_.callId + "/" + std::to_string(lastQuery_))
        return;
    switch (message.state) {
    case CallState::Running:
        return;
    case CallState::Unknown:
        finish(ResultCode::OutcomeUnknown, Executed::Unknown, text_);
        return;
    case CallState::Done:
        if (message.code == ResultCode::Ok)
            succeed(message.answer);
        else {
            closeClaim(ClaimState::Done, ResultCode::OutcomeUnknown, {});
            finish(ResultCode::OutcomeUnknown, Executed::Unknown, text_);
        }
        return;
    case CallState::NotStarted:
        break;
    }
    if (phase_ == Phase::AwaitingClaimOwner) {
        retry(ResultCode::TicketInvalid, RetryCause::Lost);
        return;
    }
    for (auto attempt = attempts_.begin(); attempt != attempts_.end(); ++attempt) {
        if (attempt->second.ticket == queryTicket_) {
            attemptNotStarted(attempt, ResultCode::LinkClosed, RetryCause::Lost);
            return;
        }
    }
}

void CallDriver::linkClosed(const std::string& agent)
{
    if (phase_ == Phase::Fetching && agent == request_.position->agent) {
        isFetchSent_ = false;
        return;
    }
    if (phase_ != Phase::Sent)
        return;
    std::vector<std::uint32_t> lost;
    for (const auto& entry : attempts_) {
        if (entry.second.ticket.agent == agent)
            lost.push_back(entry.first);
    }
    for (std::uint32_t number : lost) {
        auto attempt = attempts_.find(number);
        if (phase_ != Phase::Sent || attempt == attempts_.end())
            return;
        if (request_.isIdempotent)
            attemptLost(attempt, ResultCode::LinkClosed);
        else
            beginResolve(attempt->second.ticket);
    }
}

void CallDriver::engineStalled(const std::string& agent)
{
    if (phase_ != Phase::Sent || !request_.isIdempotent)
        return;
    for (auto attempt = attempts_.begin(); attempt != attempts_.end(); ++attempt) {
        if (attempt->second.ticket.agent != agent)
            continue;
        replaceSilentAttempt(attempt);
        return;
    }
}

void CallDriver::ticketsAvailable()
{
    if (phase_ == Phase::AwaitingTicket)
        takeTicket();
}

void CallDriver::cancel()
{
    if (phase_ == Phase::Finished)
        return;
    isCallerDisconnected_ = true;
    if (request_.isIdempotent) {
        cancelAttempts();
        finish(ResultCode::Cancelled, executedSoFar(), text_);
    } else if (phase_ == Phase::AwaitingTicket || phase_ == Phase::ReadingClaim)
        finish(ResultCode::Cancelled, executedSoFar(), text_);
}

void CallDriver::tick()
{
    if (phase_ == Phase::Finished || phase_ == Phase::Created)
        return;
    if (isPastDeadline()) {
        if (request_.isIdempotent)
            cancelAttempts();
        finish(ResultCode::DeadlinePassed, executedSoFar(), text_);
        return;
    }
    if (phase_ == Phase::AwaitingTicket)
        takeTicket();
    else if (phase_ == Phase::Resolving)
        pollTicket();
    else if (phase_ == Phase::AwaitingClaimOwner)
        pollClaim();
    else if (phase_ == Phase::Fetching)
        fetch();
    else if (phase_ == Phase::Sent && request_.isIdempotent) {
        for (auto attempt = attempts_.begin(); attempt != attempts_.end(); ++attempt) {
            if (clock_.now() - attempt->second.lastProgress < settings_.stallLimit)
                continue;
            replaceSilentAttempt(attempt);
            return;
        }
        hedge();
    }
}

Executed CallDriver::executedSoFar() const
{
    if (phase_ == Phase::AwaitingClaimOwner || request_.position)
        return Executed::Unknown;
    if (!attempts_.empty() || mayHaveStarted_)
        return Executed::Unknown;
    if (request_.mayBeRetry)
        return Executed::Unknown;
    return Executed::No;
}

void CallDriver::takeTicket()
{
    if (isPastDeadline()) {
        finish(ResultCode::DeadlinePassed, executedSoFar(), text_);
        return;
    }
    std::optional<Ticket> ticket = hooks_.takeTicket(request_, tried_);
    if (!ticket)
        return;
    if (request_.isIdempotent)
        send(*ticket);
    else
        writeClaim(*ticket);
}

// Revokes a ticket at its agent instead of returning it. A late claim write may still store the ticket, so it must
// never be used for another call.
void CallDriver::revokeTicket(const Ticket& ticket)
{
    hooks_.send(ticket.agent, ResolveMessage { request_.callId + "/discard", ticket });
}

void CallDriver::send(const Ticket& ticket)
{
    std::uint32_t number = ++lastAttempt_;
    Attempt attempt;
    attempt.ticket = ticket;
    attempt.sentAt = clock_.now();
    attempt.lastProgress = attempt.sentAt;
    attempt.assembler = isCompletion() ? stream_ : std::make_shared<AnswerAssembler>(request_.callId, settings_.maxEarlyBytes);
    attempt.assembler->beginAttempt(number);

    CallMessage message;
    message.callId = request_.callId;
    message.attempt = number;
    message.ticket = ticket;
    message.configurationVersion = hooks_.configurationVersion();
    message.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(request_.deadline - clock_.now());
    message.kind = request_.kind;
    message.operation = request_.operation;
    message.customer = request_.customer;
    message.idempotencyKey = request_.idempotencyKey;
    message.priority = request_.priority;
    message.payload = request_.payload;
    message.resumeText = text_;
    if (!hooks_.send(ticket.agent, message)) {
        // Nothing was sent. The next tick selects an agent again. Selecting at once could loop endlessly if the
        // router returns the same agent.
        tried_.insert(ticket.agent);
        if (attempts_.empty())
            phase_ = Phase::AwaitingTicket;
        return;
    }
    ++sends_;
    attempts_.emplace(number, std::move(attempt));
    phase_ = Phase::Sent;
}

void CallDriver::retry(ResultCode code, RetryCause cause)
{
    if (isPastDeadline() || code == ResultCode::DeadlinePassed) {
        finish(ResultCode::DeadlinePassed, executedSoFar(), text_);
        return;
    }
    // The first send is not a retry, for example after taking over the claim of another owner.
    if (sends_ && !isRetryAllowed(cause)) {
        finish(text_.empty() ? ResultCode::RetryBudgetSpent : ResultCode::StreamInterrupted, executedSoFar(), text_);
        return;
    }
    phase_ = Phase::AwaitingTicket;
    if (isCallerDisconnected_) {
        finish(ResultCode::Cancelled, executedSoFar(), text_);
        return;
    }
    takeTicket();
}

bool CallDriver::isRetryAllowed(RetryCause cause)
{
    if (cause == RetryCause::Lost)
        return budget_.trySpend();
    return refusedSends_ <= settings_.maxRefusedSends && budget_.trySpendAfterRefusal();
}

// Reports to the retry budget that an agent started this attempt, once for each attempt.
void CallDriver::recordStartedAttempt(Attempt& attempt)
{
    if (attempt.isStarted)
        return;
    attempt.isStarted = true;
    budget_.recordStarted();
}

void CallDriver::hedge()
{
    std::optional<Duration> delay = hedges_.delay();
    if (isCompletion() || isHedged_ || attempts_.size() != 1 || !delay)
        return;
    const Attempt& first = attempts_.begin()->second;
    if (clock_.now() - first.sentAt < *delay)
        return;
    std::set<std::string> tried = tried_;
    tried.insert(first.ticket.agent);
    std::optional<Ticket> ticket = hooks_.takeTicket(request_, tried);
    if (!ticket)
        return;
    if (ticket->agent == first.ticket.agent || !budget_.trySpend()) {
        hooks_.returnTicket(*ticket);
        return;
    }
    isHedged_ = true;
    send(*ticket);
}

void CallDriver::readClaim()
{
    phase_ = Phase::ReadingClaim;
    std::weak_ptr<int> alive = alive_;
    claims_.read(rowKey_, [this, alive](const ClaimResult& result) {
        if (alive.expired() || phase_ != Phase::ReadingClaim)
            return;
        if (result.status != ResultCode::Ok) {
            finish(ResultCode::TableUnavailable, executedSoFar(), {});
            return;
        }
        if (result.record) {
            handleExistingClaim(*result.record);
            return;
        }
        phase_ = Phase::AwaitingTicket;
        takeTicket();
    });
}

void CallDriver::writeClaim(const Ticket& ticket)
{
    phase_ = Phase::Claiming;
    ClaimRecord record;
    record.fingerprint = requestFingerprint(request_.operation, request_.payload);
    record.attempt = claim_ ? claim_->attempt + 1 : 1;
    record.owner = request_.callId;
    record.ticket = ticket;
    std::weak_ptr<int> alive = alive_;
    claims_.write(rowKey_, claim_, record, [this, alive, ticket, record](const ClaimResult& result) {
        if (!alive.expired())
            claimWritten(ticket, record, result);
    });
}

void CallDriver::claimWritten(const Ticket& ticket, const ClaimRecord& record, const ClaimResult& result)
{
    bool isClaimWritten = result.status == ResultCode::Ok;
    if (isClaimWritten)
        claim_ = record;
    if (phase_ != Phase::Claiming) {
        revokeTicket(ticket);
        if (isClaimWritten)
            closeClaim(ClaimState::Released, ResultCode::Ok, {});
        return;
    }
    if (isClaimWritten && (isPastDeadline() || isCallerDisconnected_)) {
        revokeTicket(ticket);
        finish(isCallerDisconnected_ ? ResultCode::Cancelled : ResultCode::DeadlinePassed, executedSoFar(), {});
        return;
    }
    if (isClaimWritten) {
        send(ticket);
        return;
    }
    if (result.status == ResultCode::TableConflict && result.record) {
        hooks_.returnTicket(ticket);
        handleExistingClaim(*result.record);
        return;
    }
    revokeTicket(ticket);
    finish(ResultCode::TableUnavailable, executedSoFar(), {});
}

void CallDriver::handleExistingClaim(const ClaimRecord& record)
{
    if (record.fingerprint != requestFingerprint(request_.operation, request_.payload)) {
        finish(ResultCode::IdempotencyKeyReused, Executed::No, {});
        return;
    }
    if (record.state == ClaimState::Done) {
        // The row is final and must not be written again.
        claim_.reset();
        queryTicket_ = record.ticket;
        if (record.code == ResultCode::Ok)
            succeed(record.answer);
        else
            finish(record.code, Executed::Unknown, {});
        return;
    }
    bool isNewTicket = phase_ != Phase::AwaitingClaimOwner || !(queryTicket_ == record.ticket);
    claim_ = record;
    if (record.state == ClaimState::Released) {
        phase_ = Phase::AwaitingTicket;
        takeTicket();
        return;
    }
    phase_ = Phase::AwaitingClaimOwner;
    if (!isNewTicket)
        return;
    queryTicket_ = record.ticket;
    ++lastQuery_;
    ownerAwaitedSince_ = clock_.now();
    lastReachableAt_ = ownerAwaitedSince_;
    nextPoll_ = ownerAwaitedSince_ + settings_.pollInterval;
}

void CallDriver::pollClaim()
{
    if (clock_.now() < nextPoll_)
        return;
    std::weak_ptr<int> alive = alive_;
    claims_.read(rowKey_, [this, alive](const ClaimResult& result) {
        if (alive.expired() || phase_ != Phase::AwaitingClaimOwner || result.status != ResultCode::Ok || !result.record)
            return;
        if (!(*result.record == *claim_))
            handleExistingClaim(*result.record);
    });
    if (phase_ != Phase::AwaitingClaimOwner)
        return;
    if (clock_.now() - ownerAwaitedSince_ >= settings_.claimOwnerTimeout)
        pollTicket();
    else
        nextPoll_ = clock_.now() + settings_.pollInterval;
}

// Writes the final state of the claim without waiting for the result. If the write is lost, the row stays Claimed,
// and the next request with the key resolves its ticket at the agent.
void CallDriver::closeClaim(ClaimState state, ResultCode code, const std::string& answer)
{
    if (!claim_ || claim_->state != ClaimState::Claimed)
        return;
    ClaimRecord record = *claim_;
    record.state = state;
    record.code = code;
    record.answer = answer;
    claims_.write(rowKey_, claim_, record, [](const ClaimResult&) {});
    claim_ = record;
}

void CallDriver::beginResolve(const Ticket& ticket)
{
    phase_ = Phase::Resolving;
    queryTicket_ = ticket;
    ++lastQuery_;
    lastReachableAt_ = clock_.now();
    nextPoll_ = lastReachableAt_;
    pollTicket();
}

void CallDriver::pollTicket()
{
    if (clock_.now() < nextPoll_)
        return;
    nextPoll_ = clock_.now() + settings_.pollInterval;
    ResolveMessage query { request_.callId + "/" + std::to_string(lastQuery_), queryTicket_ };
    if (hooks_.send(queryTicket_.agent, query))
        lastReachableAt_ = clock_.now();
    else if (clock_.now() - lastReachableAt_ >= settings_.unreachableTimeout)
        finish(ResultCode::OutcomeUnknown, Executed::Unknown, text_);
}

void CallDriver::fetch()
{
    if (clock_.now() - lastFetchProgress_ >= settings_.stallLimit) {
        finish(ResultCode::StreamInterrupted, Executed::Unknown, text_);
        return;
    }
    if (isFetchSent_)
        return;
    isFetchSent_ = hooks_.send(request_.position->agent, FetchMessage { request_.callId, request_.position->originalCallId, stream_->offset(), request_.customer });
}

void CallDriver::checkAttempt(Attempts::iterator attempt)
{
    const AnswerAssembler& assembler = *attempt->second.assembler;
    if (assembler.isComplete()) {
        succeed(isCompletion() ? text_ : attempt->second.text);
        return;
    }
    bool hasFailed = assembler.end() && assembler.end()->code != ResultCode::Ok;
    if (!hasFailed && !assembler.isBroken())
        return;
    if (request_.isIdempotent) {
        ResultCode code = hasFailed ? assembler.end()->code : ResultCode::StreamInterrupted;
        if (!hasFailed)
            hooks_.send(attempt->second.ticket.agent, CancelMessage { request_.callId, attempt->first });
        if (code == ResultCode::BackendServerFailed)
            engineFailed(attempt, code);
        else
            attemptLost(attempt, code);
    } else if (hasFailed) {
        closeClaim(ClaimState::Done, ResultCode::OutcomeUnknown, {});
        finish(ResultCode::OutcomeUnknown, Executed::Unknown, text_);
    } else if (phase_ == Phase::Sent)
        beginResolve(attempt->second.ticket);
}

void CallDriver::checkFetch()
{
    lastFetchProgress_ = clock_.now();
    if (stream_->isComplete()) {
        succeed(text_);
        return;
    }
    bool hasFailed = stream_->end() && stream_->end()->code != ResultCode::Ok;
    if (!hasFailed && !stream_->isBroken())
        return;
    bool isNotFound = hasFailed && stream_->end()->code == ResultCode::StreamNotFound;
    finish(isNotFound ? ResultCode::StreamNotFound : ResultCode::StreamInterrupted, Executed::Unknown, text_);
}

void CallDriver::engineFailed(Attempts::iterator attempt, ResultCode code)
{
    if (++engineFailures_ < settings_.maxEngineFailures) {
        attemptLost(attempt, code);
        return;
    }
    attempts_.erase(attempt);
    cancelAttempts();
    finish(code, Executed::Unknown, text_);
}

void CallDriver::attemptLost(Attempts::iterator attempt, ResultCode code)
{
    mayHaveStarted_ = true;
    tried_.insert(attempt->second.ticket.agent);
    attempts_.erase(attempt);
    if (attempts_.empty())
        retry(code, RetryCause::Lost);
}

// Ends the attempt only if another one of this call is running, or if another agent can take the call. Otherwise it
// continues, since its engine may be sound, and the next check is one poll interval later.
void CallDriver::replaceSilentAttempt(Attempts::iterator attempt)
{
    std::string agent = attempt->second.ticket.agent;
    std::optional<Ticket> ticket;
    if (attempts_.size() == 1) {
        attempt->second.lastProgress = std::max(attempt->second.lastProgress, clock_.now() - settings_.stallLimit + settings_.pollInterval);
        std::set<std::string> excluded = tried_;
        excluded.insert(agent);
        ticket = hooks_.takeTicket(request_, excluded);
        if (!ticket)
            return;
        if (ticket->agent == agent || !budget_.trySpend()) {
            hooks_.returnTicket(*ticket);
            return;
        }
    }
    hooks_.send(agent, CancelMessage { request_.callId, attempt->first });
    mayHaveStarted_ = true;
    tried_.insert(agent);
    attempts_.erase(attempt);
    if (ticket)
        send(*ticket);
}

void CallDriver::attemptNotStarted(Attempts::iterator attempt, ResultCode code, RetryCause cause)
{
    tried_.insert(attempt->second.ticket.agent);
    attempts_.erase(attempt);
    if (attempts_.empty())
        retry(code, cause);
}

void CallDriver::deliverText(const std::string& text, const std::string& agent)
{
    if (text.empty())
        return;
    text_ += text;
    std::uint64_t start = request_.position ? request_.position->offset : 0;
    hooks_.onText(text, agent, start + text_.size());
}

void CallDriver::cancelAttempts()
{
    for (const auto& entry : attempts_)
        hooks_.send(entry.second.ticket.agent, CancelMessage { request_.callId, entry.first });
}

void CallDriver::succeed(const std::string& answer)
{
    if (isCompletion() && answer.size() > text_.size())
        deliverText(answer.substr(text_.size()), queryTicket_.agent);
    if (!request_.isIdempotent)
        closeClaim(ClaimState::Done, ResultCode::Ok, answer);
    else if (!isCompletion() && !attempts_.empty()) {
        hedges_.observe(clock_.now() - attempts_.begin()->second.sentAt);
        // Cancels the slower attempt of a hedged call, so that it stops using its engine.
        for (const auto& entry : attempts_) {
            if (!entry.second.assembler->isComplete())
                hooks_.send(entry.second.ticket.agent, CancelMessage { request_.callId, entry.first });
        }
    }
    finish(ResultCode::Ok, Executed::Yes, answer);
}

void CallDriver::finish(ResultCode code, Executed executed, const std::string& answer)
{
    // Releases the claim if no attempt was started, so that the next request need not resolve the ticket.
    if (executed == Executed::No && claim_ && claim_->owner == request_.callId)
        closeClaim(ClaimState::Released, ResultCode::Ok, {});
    // Copied first, because answer may refer to an attempt that is destroyed below.
    CallOutcome outcome { code, executed, answer };
    phase_ = Phase::Finished;
    attempts_.clear();
    hooks_.onOutcome(outcome);
}

}
