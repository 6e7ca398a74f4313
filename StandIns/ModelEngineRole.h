#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "StandIns/ContinuousBatch.h"
#include "StandIns/DelayedTasks.h"
#include "StandIns/EngineOrders.h"
#include "StandIns/FaultControl.h"
#include "StandIns/PrefixCache.h"
#include "StandIns/StepBarrier.h"
#include "Transport/HttpClient.h"

#include <deque>
#include <optional>
#include <set>

namespace Damaskgrade {

// The command-line options of a model engine.
struct ModelEngineOptions {
    Endpoint listen;
    std::string name;
    std::string group;
    EngineOrders::Options orders;
    // The number of accelerators of this engine.
    std::size_t ranks { 8 };
    // The number of streams that run at the same time.
    std::size_t capacity { 32 };
    // Duration of a step with an empty batch.
    std::chrono::milliseconds stepTime { 20 };
    double prefillTokensPerMs { 10 };
    std::size_t experts { 64 };
    // Period between updates of the load report.
    std::chrono::milliseconds loadLag { 100 };
    PrefixCacheOptions cache;
    // The first engine of the group, which hosts the barrier. Without a barrier the engine runs steps independently.
    std::optional<Endpoint> barrier;
    // The number of engines of the group. Used only by the engine that hosts the barrier.
    std::size_t groupEngines { 1 };
    // The server from which orders load weights. Without it, loading takes no time.
    std::optional<Endpoint> weightStore;
};

// A simulated model engine with continuous batching, served over HTTP. If it belongs to a group, it runs its steps in
// lock-step with the other engines.
class ModelEngineRole {
public:
    ModelEngineRole(EventLoop& loop, const Clock& clock, const ModelEngineOptions& options);

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    struct LoadSnapshot {
        TimePoint time;
        std::size_t running { 0 };
        std::size_t queued { 0 };
        Duration stepTime { 0 };
    };
    struct StepRecord {
        std::uint64_t step { 0 };
        std::uint64_t mapVersion { 0 };
    };

    void handle(const Exchange& exchange);
    void handleQuery(const Exchange& exchange);
    void startCompletion(const Exchange& exchange);
    void cancelCompletion(HttpExchange& exchange);
    void reportCacheEvents(HttpExchange& exchange);
    void reportLoad(HttpExchange& exchange);
    void reportSteps(HttpExchange& exchange);
    void reportExperts(HttpExchange& exchange);
    void handleKeyValueCache(HttpExchange& exchange, const std::string& requestId);
    void handleOrder(const Exchange& exchange);
    void applyLoadedOrder(HttpExchange& exchange, const nlohmann::json& order);
    void applyOrder(HttpExchange& exchange, const nlohmann::json& order);
    void handleArrival(const Exchange& exchange);

    Duration prefillTime(const std::string& prompt);
    void countExperts(const std::string& prompt, std::uint64_t tokenIndex);
    void startStepping();
    void beginStep();
    void retryStep();
    void arriveAtBarrier(std::uint64_t step);
    void leaveBarrier();
    void handleBarrierResponse(int status, const std::string& body);
    void runStep(std::uint64_t step);
    void finishStep(std::uint64_t step, std::uint64_t mapVersion);
    Duration currentStepTime() const;
    void takeLoadSnapshot();

    EventLoop& loop_;
    const Clock& clock_;
    ModelEngineOptions options_;
    HttpClient client_;
    DelayedTasks delayed_;
    PrefixCache cache_;
    // Shared with the close handlers of connections, which may run after this object is destroyed.
    std::shared_ptr<ContinuousBatch> batch_;
    EngineOrders orders_;
    std::shared_ptr<StepBarrier> barrier_;
    std::vector<std::uint64_t> expertCounts_;
    std::deque<StepRecord> steps_;
    LoadSnapshot load_;
    bool isStepping_ { false };
    // The arrival at the barrier whose response is pending.
    std::unique_ptr<HttpCall> barrierCall_;
    // Maps whose weights are being loaded.
    std::set<std::uint64_t> loadingVersions_;
    std::unique_ptr<Timer> loadTimer_;
    FaultControl faults_;
    HttpServer server_;
};

}
