#pragma once

#include "Calls/CallEnvelopes.h"
#include "Calls/TicketLedger.h"
#include "Core/Clock.h"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace Damaskgrade {

// Number of a call that an agent started at its engine.
using RunId = std::uint64_t;

struct AgentCallsSettings {
    // Limit for the number of running calls plus unspent tickets. allocateTickets may exceed it by one ticket for
    // each connected entry.
    std::uint64_t slots { 32 };
    // How long the answer of a finished call is available for fetch and resolve messages.
    Duration finishedRetention { std::chrono::seconds(60) };
    // Maximum size of all stored answers, in bytes. The oldest finished answers are evicted first.
    std::size_t maxAnswerBytes { 32 * 1024 * 1024 };
    // Interval at which tickets are issued and reclaimed.
    Duration allocationInterval { std::chrono::milliseconds(100) };
    // Tickets above its limit are reclaimed from a session that started no call for this time.
    Duration sessionIdleTimeout { std::chrono::seconds(2) };
    // A drain that takes longer is reported as DrainState::Overdue. Running calls continue.
    Duration drainTimeout { std::chrono::seconds(30) };
};

struct AgentCallsHooks {
    // Starts a call at the engine, which reports the answer to engineText and engineEnd with the same run id.
    std::function<void(RunId, const CallMessage&)> startCall;
    std::function<void(RunId)> cancelCall;
    std::function<void(std::uint64_t session, const AgentMessage&)> send;
    // Optional. Adds the load report and the cache events to a ticket message.
    std::function<void(TicketsMessage&)> addLoadReport;
};

struct AgentCallsCounters {
    std::uint64_t started { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t revokedByResolve { 0 };
    std::uint64_t reclaimed { 0 };
    std::uint64_t discardedAnswers { 0 };
};

enum class DrainState {
    Serving,
    // New calls are refused; some calls are still running.
    Draining,
    // Calls are still running after the drain timeout.
    Overdue,
    // No call is running. The process can exit.
    Drained,
};

// Manages the calls of one agent. All calls to the engine are started here. Starts at most one call for each
// ticket, stores the answers of finished calls for a limited time, and reports the state of the call of a ticket.
// A state that is not certain is reported as CallState::Unknown.
class AgentCalls {
public:
    AgentCalls(std::string agent, std::string incarnation, const Clock& clock, AgentCallsSettings settings, AgentCallsHooks hooks);

    // Opens a session for an entry that connected, and returns its number. The next tick issues its first tickets.
    std::uint64_t openSession();
    // Closes the session of an entry whose link closed. Revokes its unspent tickets; its running calls continue.
    void closeSession(std::uint64_t session);

    // receivedAt is the time when the frame was read, so that time spent in a queue of this process counts
    // against the deadline of the call.
    void receiveCall(std::uint64_t session, const CallMessage& message, TimePoint receivedAt);
    void receiveCancel(std::uint64_t session, const CancelMessage& message);
    void receiveResolve(std::uint64_t session, const ResolveMessage& message);
    void receiveFetch(std::uint64_t session, const FetchMessage& message);

    void engineText(RunId run, const std::string& text);
    // Ends a run. Any code but Ok means that the call was started and failed.
    void engineEnd(RunId run, ResultCode code, const std::string& detail);
    // Ends all running calls with StreamInterrupted, because the engine failed. New calls are refused until
    // engineAvailable is called.
    void engineFailed(const std::string& detail);
    void engineAvailable();

    // Records a configuration version that is in force. Calls with a lower version are refused.
    void observeConfiguration(std::uint64_t version);
    // Sets the number of calls that the engine can run and queue.
    void setSlots(std::uint64_t slots) { settings_.slots = slots; }

    // Stops issuing tickets, revokes the unspent tickets and notifies all entries. Can't be undone.
    void beginDrain();
    DrainState drainState() const;

    // Issues and reclaims tickets and discards expired answers. Must be called at least once per allocationInterval.
    void tick();

    std::size_t runningCalls() const { return running_; }
    std::size_t answerBytes() const { return answerBytes_; }
    std::uint64_t configurationVersion() const { return configurationVersion_; }
    const AgentCallsCounters& counters() const { return counters_; }
    const TicketLedger& ledger() const { return ledger_; }

private:
    // A session that receives the parts of a run, and the call id and attempt that they are sent with.
    struct Subscriber {
        std::uint64_t session { 0 };
        std::string callId;
        std::uint32_t attempt { 0 };
    };

    struct Run {
        Ticket ticket;
        std::string callId;
        std::uint32_t attempt { 0 };
        std::string customer;
        bool isRunning { true };
        // Whether answer contains all text so far, including the resumed text. False once it was evicted.
        bool isAnswerKept { true };
        std::string answer;
        std::uint64_t offset { 0 };
        ResultCode code { ResultCode::Ok };
        std::string detail;
        TimePoint finishedAt;
        std::vector<Subscriber> subscribers;
    };

    struct Session {
        // Started calls, as an exponentially decaying count: halved at each allocation.
        std::uint64_t recentCalls { 0 };
        TimePoint lastCall;
    };

    ResultCode check(std::uint64_t session, const CallMessage& message, TimePoint receivedAt) const;
    bool isDuplicate(const CallMessage& message) const;
    void refuse(std::uint64_t session, const CallMessage& message, ResultCode code);
    void start(std::uint64_t session, const CallMessage& message);
    void finish(RunId id, ResultCode code, const std::string& detail);
    void expireFinishedRuns();
    void discardOldestFinished();
    void limitAnswerBytes(Run& growing);
    static bool canFetch(const Run& run, const FetchMessage& message);
    ResolutionMessage resolveTicket(const ResolveMessage& message);
    void allocate();
    void sendTickets(std::uint64_t session, TicketRange range);
    void sendEnd(const Run& run, const Subscriber& subscriber);

    const Clock& clock_;
    AgentCallsSettings settings_;
    AgentCallsHooks hooks_;
    TicketLedger ledger_;
    std::map<std::uint64_t, Session> sessions_;
    std::map<RunId, Run> runs_;
    std::map<Ticket, RunId> runByTicket_;
    // The latest run of each call id, for fetch and cancel messages.
    std::map<std::string, RunId> runByCallId_;
    // Finished runs in the order in which they ended.
    std::list<RunId> finished_;
    RunId lastRun_ { 0 };
    std::size_t running_ { 0 };
    std::size_t answerBytes_ { 0 };
    std::uint64_t configurationVersion_ { 0 };
    bool isEngineAvailable_ { true };
    TimePoint drainStartedAt_;
    TimePoint lastAllocation_;
    bool isAllocationDue_ { false };
    AgentCallsCounters counters_;
};

}
