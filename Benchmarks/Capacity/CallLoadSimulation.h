#pragma once

#include "Calls/AgentCalls.h"
#include "Core/HybridClock.h"
#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Entry/CallService.h"
#include "Measure.h"
#include "Platform/MemoryTable.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

// An in-memory table that calls the completion handler before the operation returns.
class SynchronousTable : public Table {
public:
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override { done(rows_.read(keys)); }
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(rows_.scan(prefix)); }
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override { done(rows_.write(writes)); }

private:
    MemoryTable rows_;
};

struct CallLoadSettings {
    std::size_t agents { 24 };
    // Number of entries that are linked to each agent. Only the first session receives calls.
    std::size_t sessionsPerAgent { 1 };
    std::uint64_t slotsPerAgent { 160 };
    double callsPerSecond { 0 };
    std::uint32_t tokensPerCall { 218 };
};

struct CallLoadCounters {
    std::uint64_t submitted { 0 };
    std::uint64_t succeeded { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t tokens { 0 };
    // Sent by agents to the entry.
    std::uint64_t ticketMessages { 0 };
    std::uint64_t ticketBytes { 0 };
    std::uint64_t answerBytes { 0 };
    // Sent by the entry to agents.
    std::uint64_t callBytes { 0 };
    // Processor time, in seconds.
    double entrySeconds { 0 };
    double agentSeconds { 0 };
};

// Simulates one entry and the agents that it is linked to on a manual clock. They exchange encoded frames. The
// engines produce one token per call in each step of 27 ms.
class CallLoadSimulation {
public:
    explicit CallLoadSimulation(const CallLoadSettings& settings);

    void advance(Duration duration);
    const CallLoadCounters& counters() const { return counters_; }
    std::size_t activeCalls() const { return service_->activeCalls(); }

private:
    struct Agent {
        std::string name;
        std::unique_ptr<AgentCalls> calls;
        std::uint64_t session { 0 };
        std::map<RunId, std::uint32_t> tokensLeft;
    };

    struct Delivery {
        std::size_t agent { 0 };
        Bytes bytes;
    };

    void addAgent(std::size_t index);
    void step();
    void submitCalls();
    void runEngines();
    void reportLoad();
    void sendToEntry(std::size_t index, const Frame& frame);
    void deliverToEntry();
    void deliverToAgents();
    void receiveAtAgent(Agent& agent, const Frame& frame);

    CallLoadSettings settings_;
    ManualClock clock_;
    Random random_;
    HybridClock hybridClock_;
    SynchronousTable table_;
    std::unique_ptr<CallService> service_;
    std::vector<Agent> agents_;
    std::map<std::string, std::size_t> agentIndexes_;
    std::deque<Delivery> toEntry_;
    std::deque<Delivery> toAgents_;
    std::uint64_t steps_ { 0 };
    double pendingArrivals_ { 0 };
    CallLoadCounters counters_;
    ProcessorTime entryTime_;
    ProcessorTime agentTime_;
};

// Returns a completion call as in R25, with a prompt of 2,000 bytes and a deadline of one minute.
CallRequest makeCall(std::uint64_t number, TimePoint now);
HelloMessage makeHello(const std::string& agent);

}
