#include "Calls/AgentCalls.h"

#include "Calls/TicketAllocation.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

// Attempt number of fetched parts. The attempts of a sent call are numbered from 1.
constexpr std::uint32_t fetchAttempt = 0;

}

AgentCalls::AgentCalls(std::string agent, std::string incarnation, const Clock& clock, AgentCallsSettings settings, AgentCallsHooks hooks)
    : clock_(clock)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , ledger_(std::move(agent), std::move(incarnation))
    , lastAllocation_(clock.now())
{
}

std::uint64_t AgentCalls::openSession()
{
    std::uint64_t session = ledger_.openSession();
    Session state;
    state.lastCall = clock_.now();
    sessions_.emplace(session, state);
    isAllocationDue_ = true;
    return session;
}

void AgentCalls::closeSession(std::uint64_t session)
{
    ledger_.closeSession(session);
    sessions_.erase(session);
    for (auto& entry : runs_) {
        std::vector<Subscriber>& subscribers = entry.second.subscribers;
        subscribers.erase(std::remove_if(subscribers.begin(), subscribers.end(),
                              [session](const Subscriber& subscriber) { return subscriber.session == session; }),
            subscribers.end());
    }
}

void AgentCalls::receiveCall(std::uint64_t session, const CallMessage& message, TimePoint receivedAt)
{
    ResultCode code = check(session, message, receivedAt);
    if (code == ResultCode::Ok)
        code = ledger_.spend(message.ticket);
    if (code == ResultCode::Ok) {
        start(session, message);
        return;
    }
    // Revokes the ticket of a refused call, so that a duplicate of the call can't start later.
    TicketState state = ledger_.resolve(message.ticket);
    // Refusing a duplicate would report that the call was not started, although its first copy was.
    if (state == TicketState::Spent && isDuplicate(message))
        return;
    refuse(session, message, code);
}

ResultCode AgentCalls::check(std::uint64_t session, const CallMessage& message, TimePoint receivedAt) const
{
    if (message.ticket.session != session)
        return ResultCode::TicketInvalid;
    if (!isEngineAvailable_)
        return ResultCode::BackendServerRefused;
    if (message.configurationVersion < configurationVersion_)
        return ResultCode::ConfigurationOutdated;
    if (clock_.now() - receivedAt >= message.timeLeft)
        return ResultCode::DeadlinePassed;
    return ResultCode::Ok;
}

bool AgentCalls::isDuplicate(const CallMessage& message) const
{
    auto found = runByTicket_.find(message.ticket);
    // The run was discarded, so it is not known which call spent the ticket. A refusal might be wrong.
    if (found == runByTicket_.end())
        return true;
    const Run& run = runs_.at(found->second);
    return run.callId == message.callId && run.attempt == message.attempt;
}

void AgentCalls::refuse(std::uint64_t session, const CallMessage& message, ResultCode code)
{
    ++counters_.refused;
    hooks_.send(session, RefusedMessage { message.callId, message.attempt, code, std::string(resultName(code)) });
}

void AgentCalls::start(std::uint64_t session, const CallMessage& message)
{
    configurationVersion_ = std::max(configurationVersion_, message.configurationVersion);
    RunId id = ++lastRun_;
    Run run;
    run.ticket = message.ticket;
    run.callId = message.callId;
    run.attempt = message.attempt;
    run.customer = message.customer;
    run.answer = message.resumeText;
    run.offset = message.resumeText.size();
    run.subscribers.push_back({ session, message.callId, message.attempt });
    answerBytes_ += run.answer.size();
    runs_.emplace(id, std::move(run));
    runByTicket_[message.ticket] = id;
    runByCallId_[message.callId] = id;
    ++running_;
    ++counters_.started;
    Session& state = sessions_[session];
    state.lastCall = clock_.now();
    ++state.recentCalls;
    hooks_.startCall(id, message);
}

void AgentCalls::receiveCancel(std::uint64_t session, const CancelMessage& message)
{
    auto found = runByCallId_.find(message.callId);
    if (found == runByCallId_.end())
        return;
    const Run& run = runs_.at(found->second);
    if (!run.isRunning || run.ticket.session != session || run.attempt != message.attempt)
        return;
    RunId id = found->second;
    finish(id, ResultCode::Cancelled, "cancelled by the entry");
    hooks_.cancelCall(id);
}

void AgentCalls::receiveResolve(std::uint64_t session, const ResolveMessage& message)
{
    hooks_.send(session, resolveTicket(message));
}

ResolutionMessage AgentCalls::resolveTicket(const ResolveMessage& message)
{
    ResolutionMessage resolution;
    resolution.queryId = message.queryId;
    TicketState state = ledger_.resolve(message.ticket);
    if (state == TicketState::Revoked) {
        ++counters_.revokedByResolve;
        resolution.state = CallState::NotStarted;
        return resolution;
    }
    auto found = runByTicket_.find(message.ticket);
    if (state == TicketState::NotIssued || found == runByTicket_.end())
        return resolution;
    const Run& run = runs_.at(found->second);
    if (run.isRunning) {
        resolution.state = CallState::Running;
        return resolution;
    }
    // Reporting Done without the discarded answer would look like an empty answer.
    if (run.code == ResultCode::Ok && !run.isAnswerKept)
        return resolution;
    resolution.state = CallState::Done;
    resolution.code = run.code;
    if (run.code == ResultCode::Ok)
        resolution.answer = run.answer;
    return resolution;
}

bool AgentCalls::canFetch(const Run& run, const FetchMessage& message)
{
    return run.isAnswerKept && run.customer == message.customer && message.offset <= run.offset;
}

void AgentCalls::receiveFetch(std::uint64_t session, const FetchMessage& message)
{
    auto found = runByCallId_.find(message.originalCallId);
    if (found == runByCallId_.end() || !canFetch(runs_.at(found->second), message)) {
        hooks_.send(session, EndMessage { message.callId, fetchAttempt, message.offset, ResultCode::StreamNotFound, "the requested stream is not available at this agent" });
        return;
    }
    Run& run = runs_.at(found->second);
    Subscriber subscriber { session, message.callId, fetchAttempt };
    if (message.offset < run.offset)
        hooks_.send(session, PartMessage { message.callId, fetchAttempt, message.offset, run.answer.substr(message.offset) });
    if (run.isRunning)
        run.subscribers.push_back(subscriber);
    else
        sendEnd(run, subscriber);
}

void AgentCalls::engineText(RunId run, const std::string& text)
{
    auto found = runs_.find(run);
    if (found == runs_.end() || !found->second.isRunning || text.empty())
        return;
    Run& state = found->second;
    for (const Subscriber& subscriber : state.subscribers)
        hooks_.send(subscriber.session, PartMessage { subscriber.callId, subscriber.attempt, state.offset, text });
    state.offset += text.size();
    if (!state.isAnswerKept)
        return;
    state.answer += text;
    answerBytes_ += text.size();
    limitAnswerBytes(state);
}

void AgentCalls::engineEnd(RunId run, ResultCode code, const std::string& detail)
{
    auto found = runs_.find(run);
    if (found != runs_.end() && found->second.isRunning)
        finish(run, code, detail);
}

void AgentCalls::engineFailed(const std::string& detail)
{
    isEngineAvailable_ = false;
    std::vector<RunId> lost;
    for (const auto& entry : runs_) {
        if (entry.second.isRunning)
            lost.push_back(entry.first);
    }
    for (RunId run : lost)
        finish(run, ResultCode::StreamInterrupted, detail);
}

void AgentCalls::engineAvailable()
{
    isEngineAvailable_ = true;
}

void AgentCalls::observeConfiguration(std::uint64_t version)
{
    configurationVersion_ = std::max(configurationVersion_, version);
}

void AgentCalls::beginDrain()
{
    if (ledger_.isDraining())
        return;
    ledger_.drain();
    drainStartedAt_ = clock_.now();
    for (const auto& entry : sessions_)
        sendTickets(entry.first, {});
}

DrainState AgentCalls::drainState() const
{
    if (!ledger_.isDraining())
        return DrainState::Serving;
    if (!running_)
        return DrainState::Drained;
    return clock_.now() - drainStartedAt_ >= settings_.drainTimeout ? DrainState::Overdue : DrainState::Draining;
}

void AgentCalls::tick()
{
    expireFinishedRuns();
    if (!isAllocationDue_ && clock_.now() - lastAllocation_ < settings_.allocationInterval)
        return;
    allocate();
    for (auto& entry : sessions_)
        entry.second.recentCalls /= 2;
}

void AgentCalls::finish(RunId id, ResultCode code, const std::string& detail)
{
    Run& run = runs_.at(id);
    run.isRunning = false;
    run.code = code;
    run.detail = detail;
    run.finishedAt = clock_.now();
    --running_;
    finished_.push_back(id);
    for (const Subscriber& subscriber : run.subscribers)
        sendEnd(run, subscriber);
    run.subscribers.clear();
}

void AgentCalls::expireFinishedRuns()
{
    while (!finished_.empty() && clock_.now() - runs_.at(finished_.front()).finishedAt >= settings_.finishedRetention)
        discardOldestFinished();
}

void AgentCalls::discardOldestFinished()
{
    auto found = runs_.find(finished_.front());
    finished_.pop_front();
    Run& run = found->second;
    answerBytes_ -= run.answer.size();
    runByTicket_.erase(run.ticket);
    auto byCallId = runByCallId_.find(run.callId);
    if (byCallId != runByCallId_.end() && byCallId->second == found->first)
        runByCallId_.erase(byCallId);
    runs_.erase(found);
    ++counters_.discardedAnswers;
}

void AgentCalls::limitAnswerBytes(Run& growing)
{
    while (answerBytes_ > settings_.maxAnswerBytes && !finished_.empty())
        discardOldestFinished();
    if (answerBytes_ <= settings_.maxAnswerBytes)
        return;
    answerBytes_ -= growing.answer.size();
    growing.answer = std::string();
    growing.isAnswerKept = false;
    ++counters_.discardedAnswers;
}

void AgentCalls::allocate()
{
    lastAllocation_ = clock_.now();
    isAllocationDue_ = false;
    std::vector<SessionDemand> demand;
    for (const auto& entry : sessions_)
        demand.push_back({ entry.first, ledger_.unspent(entry.first), entry.second.recentCalls });
    for (const SessionTicketLimit& ticketLimit : allocateTickets(settings_.slots, running_, demand)) {
        std::uint64_t unspent = ledger_.unspent(ticketLimit.session);
        bool isIdle = clock_.now() - sessions_.at(ticketLimit.session).lastCall >= settings_.sessionIdleTimeout;
        if (unspent > ticketLimit.limit && isIdle)
            counters_.reclaimed += ledger_.reclaim(ticketLimit.session, ticketLimit.limit);
        if (unspent < ticketLimit.limit)
            sendTickets(ticketLimit.session, ledger_.issue(ticketLimit.session, ticketLimit.limit - unspent));
    }
}

void AgentCalls::sendTickets(std::uint64_t session, TicketRange range)
{
    TicketsMessage message;
    message.session = session;
    message.firstSequence = range.first;
    message.count = range.count;
    message.isDraining = ledger_.isDraining();
    if (hooks_.addLoadReport)
        hooks_.addLoadReport(message);
    hooks_.send(session, message);
}

void AgentCalls::sendEnd(const Run& run, const Subscriber& subscriber)
{
    hooks_.send(subscriber.session, EndMessage { subscriber.callId, subscriber.attempt, run.offset, run.code, run.detail });
}

}
