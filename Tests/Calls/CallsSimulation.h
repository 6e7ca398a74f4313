#pragma once

#include "Calls/AgentCalls.h"
#include "Calls/CallDriver.h"
#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Platform/MemoryTable.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class TableMode {
    Up,
    Slow,
    // All operations fail, and no write is applied.
    Down,
    // Some writes are not acknowledged. They are applied, half of them late.
    LosesAcknowledgements,
};

enum class RequestKind {
    Completion,
    Lookup,
    Booking,
};

// Execution of a call at an engine, as recorded by the engine.
struct Execution {
    std::string callId;
    std::string key;
    std::string payload;
    // The resumed text and the text that the engine added.
    std::string answer;
    bool isComplete { false };
    // The engine or agent was killed, or the call was cancelled on request.
    bool wasStopped { false };
};

// A request of a caller at all entries that the caller sent it to, and the responses that the caller received.
struct CallerRequest {
    RequestKind kind { RequestKind::Lookup };
    std::string key;
    std::string payload;
    std::vector<std::string> callIds;
    std::size_t entry { 0 };
    std::uint64_t connection { 0 };
    std::string text;
    std::string textAgent;
    std::string textCallId;
    std::vector<CallOutcome> outcomes;
    bool isDisconnected { false };
};

struct CallsSimulationCounters {
    std::uint64_t simulations { 0 };
    std::uint64_t requests { 0 };
    std::uint64_t movedCallers { 0 };
    std::uint64_t executions { 0 };
    std::uint64_t sends { 0 };
    std::uint64_t executedUnknown { 0 };
    std::map<std::string, std::uint64_t> outcomes;
};

// Simulates entries, agents, engines, callers, a network and a table with faults on one manual clock.
// Uses the production classes of Source/Calls (CallDriver, ClaimStore, AgentCalls and others).
class CallsSimulation {
public:
    static constexpr std::size_t entryCount = 3;
    static constexpr std::size_t agentCount = 3;

    explicit CallsSimulation(std::uint64_t seed);
    ~CallsSimulation();

    // Sends a request and returns its number. Bookings with the same key number have the same key. They also have
    // the same payload, unless reusesKey makes it the payload of another request.
    std::size_t sendRequest(RequestKind kind, std::size_t entry, std::size_t keyNumber = 0, bool reusesKey = false);
    // The caller closes its connection and sends the request again to another entry.
    void moveCaller(std::size_t request, std::size_t entry);
    // The caller closes its connection and does not retry.
    void disconnectCaller(std::size_t request);

    void killEntry(std::size_t entry);
    void pauseEntry(std::size_t entry);
    void startEntry(std::size_t entry);
    void killAgent(std::size_t agent);
    void pauseAgent(std::size_t agent);
    void startAgent(std::size_t agent);
    void killEngine(std::size_t agent);
    void pauseEngine(std::size_t agent);
    void startEngine(std::size_t agent);
    void drainAgent(std::size_t agent);
    void closeLink(std::size_t entry, std::size_t agent);
    void setTable(TableMode mode) { tableMode_ = mode; }
    // Sets the share of messages that are duplicated, and the maximum delay of a message in milliseconds. Delays
    // reorder messages.
    void setNetwork(double duplicates, int maxDelayMs);

    void advance(int ms);

    // Ends all faults, waits until all calls have ended, and returns the first violation of the guarantees. Returns
    // an empty string if there is none.
    std::string recoverAndCheck();

    // Returns the first violation so far, or an empty string.
    std::string check() const;

    CallerRequest& request(std::size_t number) { return requests_[number]; }
    std::size_t requestCount() const { return requests_.size(); }
    const std::vector<Execution>& executions() const { return executions_; }
    MemoryTable& table() { return table_; }
    AgentCalls& agentCalls(std::size_t agent) { return *agents_[agent].calls; }

    static CallsSimulationCounters& counters();

private:
    // A process that can be paused. Events that reach it during the pause wait in the inbox.
    struct Process {
        bool isAlive { false };
        bool isPaused { false };
        std::uint64_t generation { 0 };
        std::deque<std::function<void()>> inbox;
    };

    struct Link {
        std::size_t entry;
        std::size_t agent;
        std::uint64_t entryGeneration;
        std::uint64_t agentGeneration;
        std::uint64_t session { 0 };
        bool isOpenAtEntry { true };
        bool isOpenAtAgent { true };
    };
    using LinkPointer = std::shared_ptr<Link>;

    struct EntryTable;

    struct Entry : Process {
        std::unique_ptr<EntryTable> tableClient;
        std::unique_ptr<ClaimStore> claims;
        std::unique_ptr<RetryBudget> budget;
        std::unique_ptr<HedgePolicy> hedges;
        std::map<std::string, std::unique_ptr<CallDriver>> drivers;
        std::array<LinkPointer, agentCount> links;
        std::array<std::vector<Ticket>, agentCount> tickets;
    };

    struct Agent : Process {
        std::unique_ptr<AgentCalls> calls;
        std::map<std::uint64_t, LinkPointer> links;
        bool isEngineUp { true };
        bool isEnginePaused { false };
        // Maps each run id to the index of its execution and the number of tokens left.
        std::map<RunId, std::pair<std::size_t, int>> runs;
        TimePoint drainStartedAt;
    };

    void at(Duration delay, std::function<void()> step);
    void post(Process& process, std::uint64_t generation, std::function<void()> step);
    void resume(Process& process);
    Duration messageDelay();
    void connect(std::size_t entry, std::size_t agent);
    void sendToAgent(const LinkPointer& link, const EntryMessage& message);
    void sendToEntry(const LinkPointer& link, const AgentMessage& message);
    void receiveAtAgent(const LinkPointer& link, const EntryMessage& message);
    void receiveAtEntry(const LinkPointer& link, const AgentMessage& message);
    void closeAtEntry(const LinkPointer& link);
    void closeAtAgent(const LinkPointer& link);
    void startDriver(std::size_t request, std::size_t entry, bool isRetry);
    std::optional<Ticket> takeTicket(std::size_t entry, const std::set<std::string>& tried);
    void startRun(std::size_t agent, RunId run, const CallMessage& message);
    void stepEngine(std::size_t agent);
    void stopRuns(std::size_t agent);
    void tick();
    std::size_t agentIndex(const std::string& name) const;
    void recordViolation(const std::string& text);

    ManualClock clock_;
    Random random_;
    MemoryTable table_;
    TableMode tableMode_ { TableMode::Up };
    double duplicates_ { 0 };
    int maxDelayMs_ { 2 };
    std::multimap<TimePoint, std::function<void()>> events_;
    std::array<Entry, entryCount> entries_;
    std::array<Agent, agentCount> agents_;
    std::vector<CallerRequest> requests_;
    std::map<std::string, std::size_t> requestByCallId_;
    std::vector<Execution> executions_;
    std::uint64_t lastCall_ { 0 };
    std::string violation_;
};

}
