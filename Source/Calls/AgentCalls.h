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

// Numbers the calls that an agent started at its engine.
using RunId = std::uint64_t;

struct AgentCallsSettings {
    // Calls that may be running or hold an unspent ticket.
    std::uint64_t slots { 32 };
    // How long the answer of a finished call is kept for fetch and resolve.
    Duration finishedRetention { std::chrono::seconds(60) };
    // Bytes of answers kept. The oldest finished answers are dropped first.
    std::size_t maxAnswerBytes { 32 * 1024 * 1024 };
    // Interval between two decisions on tickets.
    Duration allocationInterval { std::chrono::milliseconds(100) };
    // A session that started no call for this time gives back the tickets above its allowance.
    Duration sessionIdleTimeout { std::chrono::seconds(2) };
    // After this the drain is reported as over time. Running calls go on.
    Duration drainTimeout { std::chrono::seconds(30) };
};

struct AgentCallsHooks {
    // Starts a call at the engine. The answer is reported to engineText and engineEnd under the run id.
    std::function<void(RunId, const CallMessage&)> startCall;
    std::function<void(RunId)> cancelCall;
    std::function<void(std::uint64_t session, const AgentMessage&)> send;
    // Fills in the load report and the cache events of a ticket message.
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
    // No new calls; calls are still running.
    Draining,
    // Calls are still running after the drain bound.
    Overdue,
    // No call is running. The process may end.
    Drained,
};

// The calls of one agent: the only path by which a call starts at the engine.
// It starts each ticket at most once, keeps answers for a while, and says truthfully what became of a ticket.
class AgentCalls {
public:
    AgentCalls(std::string agent, std::string incarnation, const Clock& clock, AgentCallsSettings settings, AgentCallsHooks hooks);

    // An entry connected. Returns its session. The next tick issues the first tickets to it.
    std::uint64_t openSession();
    // The link to an entry closed. Its unspent tickets are revoked; its running calls go on.
    void closeSession(std::uint64_t session);

    // receivedAt is the time when the frame was read; waiting in the process counts against the deadline.
    void receiveCall(std::uint64_t session, const CallMessage& message, TimePoint receivedAt);
    void receiveCancel(std::uint64_t session, const CancelMessage& message);
    void receiveResolve(std::uint64_t session, const ResolveMessage& message);
    void receiveFetch(std::uint64_t session, const FetchMessage& message);

    void engineText(RunId run, const std::string& text);
    // Any code but Ok means that the call was started and failed.
    void engineEnd(RunId run, ResultCode code, const std::string& detail);
    // The engine is lost: all running calls end, and new ones are refused until engineAvailable.
    void engineFailed(const std::string& detail);
    void engineAvailable();

    // A configuration version is in force. Calls with a lower one are refused.
    void observeConfiguration(std::uint64_t version);
    // The engine reported how many calls it can run and queue.
    void setSlots(std::uint64_t slots) { settings_.slots = slots; }

    // Issues no more tickets, revokes the unspent ones and tells all entries. Can't be undone.
    void beginDrain();
    DrainState drainState() const;

    // Issues and reclaims tickets and drops old answers. To be called at least once per allocationInterval.
    void tick();

    std::size_t runningCalls() const { return running_; }
    std::size_t answerBytes() const { return answerBytes_; }
    std::uint64_t configurationVersion() const { return configurationVersion_; }
    const AgentCallsCounters& counters() const { return counters_; }
    const TicketLedger& ledger() const { return ledger_; }

private:
    // A session that receives the parts of a run under a call id and attempt.
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
        // Whether answer holds the whole answer so far, the resumed text included.
        bool isAnswerKept { true };
        std::string answer;
        std::uint64_t offset { 0 };
        ResultCode code { ResultCode::Ok };
        std::string detail;
        TimePoint finishedAt;
        std::vector<Subscriber> subscribers;
    };

    struct Session {
        // Calls of the last windows, halved at each allocation.
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
    // The last run of each call id, for fetch.
    std::map<std::string, RunId> runByCallId_;
    // Finished runs, the oldest first.
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
