#pragma once

#include "Calls/CallDriver.h"
#include "Configuration/Document.h"
#include "Core/HybridClock.h"
#include "Core/Random.h"
#include "Entry/TicketPool.h"
#include "Limits/AdmissionController.h"
#include "Platform/Table.h"
#include "Routing/BackendServerSelector.h"
#include "Routing/OutlierDetector.h"
#include "Routing/PrefixCacheIndex.h"
#include "Routing/ZoneLatencies.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

struct CallServiceHooks {
    // Sends a frame to an agent. Returns false if the agent is not linked.
    std::function<bool(const std::string& agent, const Frame& frame)> send;
    // Returns the configuration version in force.
    std::function<std::uint64_t()> configurationVersion;
};

// The requirements for the backend server of a call.
struct CallRequirements {
    BackendServerKind kind { BackendServerKind::Model };
    // The name of the model or service.
    std::string serves;
    std::vector<std::uint64_t> prefix;
    std::uint32_t expectedTokens { 128 };
};

struct CallHandlers {
    // Receives the next text of the answer and the agent that sent it. The offset is the number of bytes of the
    // answer up to the end of this text.
    std::function<void(std::string_view text, const std::string& agent, std::uint64_t offset)> onText;
    // Called exactly once.
    std::function<void(const CallOutcome&)> onOutcome;
};

struct CallServiceCounters {
    std::uint64_t received { 0 };
    std::uint64_t sent { 0 };
    std::map<ResultCode, std::uint64_t> outcomes;
    std::map<Executed, std::uint64_t> executed;
};

// Runs the calls of one entry: admits them, selects backend servers, and passes messages
// between the agents and the drivers of the calls.
class CallService {
public:
    CallService(const Clock& clock, Random& random, HybridClock& hybridClock, Table& table, std::string availabilityZone, CallServiceHooks hooks);

    // Handle events of the links to agents.
    void agentConnected(const HelloMessage& hello);
    void agentDisconnected(const std::string& agent);
    // Throws Error(BadFrame) if the body can't be decoded. Ignores other types of frames.
    void receive(const std::string& agent, const Frame& frame);

    // Applies the settings of a configuration that is now in force.
    void configure(const Document& document);
    void setAgentDraining(const std::string& agent, bool isDraining);

    // Starts or queues a call. The outcome may be reported before this function returns.
    void submit(CallRequest request, CallRequirements requirements, CallHandlers handlers);

    // Cancels a call whose caller has disconnected or reads too slowly. A non-idempotent call is
    // cancelled only while it waits for its admission, its ticket or its claim row. Has no effect if the call has
    // finished.
    void cancel(const std::string& callId);

    // Must be called about every 10 ms.
    void tick();

    std::size_t activeCalls() const { return calls_.size(); }
    const CallServiceCounters& counters() const { return counters_; }
    const ClaimStoreCounters& claimCounters() const { return claims_.counters(); }
    const BackendServerTable& servers() const { return servers_; }
    const OutlierDetector& outliers() const { return outliers_; }

private:
    enum class AdmissionState {
        NotRequested,
        Queued,
        Started,
    };

    struct ActiveCall {
        CallRequirements requirements;
        CallHandlers handlers;
        CallRequest request;
        std::unique_ptr<CallDriver> driver;
        AdmissionState admission { AdmissionState::NotRequested };
        bool isFinished { false };
        // When the call was sent to each agent that has not sent a part of its answer yet.
        std::map<std::string, TimePoint> sentAtByAgent;
    };

    bool isAtLimit(const std::string& customer) const;
    AdmissionController& admission(const std::string& serves);
    void requestAdmission(const std::string& callId);
    void apply(const std::string& serves, const AdmissionDecision& decision);
    void advance(const std::string& serves);
    void startDriver(const std::string& callId);
    CallDriverHooks makeDriverHooks(const std::string& callId);
    std::optional<Ticket> takeTicket(const std::string& callId, const std::set<std::string>& tried);
    void finish(const std::string& callId, const CallOutcome& outcome);
    ActiveCall* find(const std::string& callId);
    void receiveTickets(const std::string& agent, const TicketsMessage& message);
    void receivePart(const std::string& agent, const PartMessage& message);
    void receiveEnd(const std::string& agent, const EndMessage& message);
    void receiveRefused(const std::string& agent, const RefusedMessage& message);
    double groupSkew(std::string_view group) const;
    void updateHealth(const std::string& agent, EngineHealth health);
    void updateSuspicions();
    void moveCalls(const std::string& agent);
    void updateTicketCount(const std::string& agent);
    void eraseFinished();

    const Clock& clock_;
    HybridClock& hybridClock_;
    CallServiceHooks hooks_;
    ClaimStore claims_;
    RetryBudget budget_;
    HedgePolicy hedges_;
    BackendServerTable servers_;
    PrefixCacheIndex cache_;
    OutlierDetector outliers_;
    ZoneLatencies latencies_;
    BackendServerSelector selector_;
    TicketPool tickets_;
    // The step-time skew of each model group, from the last load report of one of its agents. It is a ratio; 1
    // means balanced.
    std::map<std::string, double, std::less<>> groupSkews_;
    // Agents that report an unhealthy engine.
    std::map<std::string, EngineHealth> unhealthy_;
    CallDriverSettings driverSettings_;
    std::map<std::string, double> weights_;
    // Calls without a final outcome by customer, and the maximum for each customer.
    std::map<std::string, std::size_t> callsByCustomer_;
    std::map<std::string, std::size_t> maxCallsByCustomer_;
    std::map<std::string, AdmissionController> admissions_;
    std::map<std::string, ActiveCall> calls_;
    CallServiceCounters counters_;
    std::vector<std::string> finished_;
};

}
