#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "MapSwitch/FakeEngine.h"
#include "MapSwitch/MapAgent.h"
#include "MapSwitch/MapController.h"
#include "Platform/MemoryTable.h"

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Damaskgrade {

// Faults and other events of a test.
enum class ActionKind {
    Wait,
    RequestMap,
    KillAgent,
    StartAgent,
    KillEngine,
    StartEngine,
    // Restarts the agent and, for even amounts, the engine; otherwise the engine stays down.
    RestartEngineAndAgent,
    StallEngine,
    PauseController,
    ResumeController,
    RestartController,
    TableDown,
    TableUp,
    LoseAcknowledgements,
    LoseMessages,
    DelayMessages,
    DuplicateMessages,
    LoadSlowly,
    DelayEngineResponses,
    RestartAll,
    ClearFaults,
    IsolatedTableOutage,
};
constexpr int actionKindCount = static_cast<int>(ActionKind::IsolatedTableOutage) + 1;

// An event with its parameters. run() reduces both numbers to the range that the kind needs.
struct Action {
    ActionKind kind { ActionKind::Wait };
    // Selects the engine or controller; for Wait, a short or a long wait.
    unsigned targetIndex { 0 };
    // A duration in milliseconds, a percentage or a count, depending on the kind.
    unsigned amount { 0 };
};

// Returns the action as a C++ initializer.
std::string describe(const Action& action);

struct MapSwitchTotals {
    std::uint64_t cases { 0 };
    std::uint64_t steps { 0 };
    std::uint64_t switches { 0 };
    std::uint64_t aborts { 0 };
    std::uint64_t recoveries { 0 };
    std::uint64_t leases { 0 };
    std::uint64_t actions { 0 };
};

// Simulates one model group with its agents, two competing controllers, a table and a network, in
// memory and on a manual clock. Checks the guarantees independently of the protocol, and throws
// std::runtime_error if one is violated.
class MapSwitchSimulation : public Table {
public:
    explicit MapSwitchSimulation(std::uint64_t seed, std::size_t engineCount = 4);
    ~MapSwitchSimulation() override;

    void run(const Action& action);
    void advance(std::chrono::milliseconds duration);

    // Ends all faults. Then checks that the group executes steps, that no change is left without outcome,
    // and that a new change succeeds.
    void clearFaultsAndCheck();
    void addTotals(MapSwitchTotals& totals) const;

    std::uint64_t step() const { return step_; }
    MapVersion usedVersion() const { return usedVersion_; }
    GroupRow row() const;

private:
    struct EngineProcess;
    struct AgentProcess;
    struct ControllerProcess;
    class EngineLink;
    struct Event {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.time, other.number) < std::tie(time, number); }
    };

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override;
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override;
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override;

    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    std::chrono::milliseconds shortDelay();
    bool chance(unsigned percent);
    // Calls the action as a message of the simulated network: with a delay, possibly twice or not at all.
    void deliver(const std::function<void()>& action);
    template <typename Message, typename Decode>
    void sendToAgent(const std::string& name, const Message& message, Decode decode);
    void sendToController(const std::string& name, const MapOrderResultMessage& message);
    void startAgent(std::size_t index);
    void startController(std::size_t index);
    void killEngine(std::size_t index);
    void resumeController(std::size_t index);
    void clearFaultsExceptTable();
    void stepGroup();
    void checkIsolatedTableOutage(std::chrono::milliseconds before);
    void waitUntilSettled(const char* what);
    bool isSettled();
    void requestMap();
    void addCounters(const ControllerProcess& controller);

    ManualClock clock_;
    Random random_;
    // With a small margin, engines can reach the step before all orders arrive.
    std::uint64_t stepMargin_;
    MemoryTable rows_;
    std::priority_queue<Event> events_;
    std::uint64_t eventNumber_ { 0 };
    std::vector<std::string> members_;
    std::vector<std::unique_ptr<EngineProcess>> engines_;
    std::vector<std::unique_ptr<AgentProcess>> agents_;
    std::vector<std::unique_ptr<ControllerProcess>> controllers_;

    bool isTableDown_ { false };
    unsigned lostAcknowledgements_ { 0 };
    unsigned lossPercent_ { 0 };
    unsigned delayPercent_ { 0 };
    unsigned duplicatePercent_ { 0 };
    unsigned delayedResponsePercent_ { 0 };
    std::chrono::milliseconds loadTime_ { 30 };

    std::uint64_t step_ { 0 };
    MapVersion usedVersion_ { noMap };
    TimePoint lastStepTime_;
    Duration longestStepGap_ { 0 };
    unsigned requestedMaps_ { 0 };
    MapSwitchTotals totals_;
};

}
