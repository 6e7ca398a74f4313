#pragma once

#include "RankMaps/ControllerLease.h"
#include "RankMaps/GroupControl.h"
#include "RankMaps/RankAgent.h"
#include "RankMaps/RankAgentSettings.h"
#include "Transport/HttpServer.h"
#include "Transport/LinkServer.h"

#include <functional>
#include <memory>

namespace Damaskgrade {

// The platform services that a rank agent uses.
struct RankAgentPlatform {
    Table& table;
    CatalogSource& catalog;
    std::function<std::unique_ptr<RankEngine>(const Endpoint&)> engine;
};

// The agent process beside one rank: serves the controller of the group, and becomes the controller if no message of
// one is received within the timeout.
class RankAgentProcess {
public:
    RankAgentProcess(EventLoop& loop, const Clock& clock, Random& random, RankAgentSettings settings, RankAgentPlatform platform, DecisionLog& log);
    ~RankAgentProcess();
    RankAgentProcess(const RankAgentProcess&) = delete;
    RankAgentProcess& operator=(const RankAgentProcess&) = delete;

    // Handles the generation that the table has stated. Lower generations than before, of late responses, are ignored.
    void handleStoreGeneration(StoreGeneration generation);

private:
    void registerAgent();
    void readAgents();
    void receive(const std::shared_ptr<LinkSession>& session, const Frame& frame);
    void tick();
    bool isLeaseLost() const;
    void scheduleAgentScan(std::chrono::milliseconds delay);
    void takeOverIfControllerTimedOut();
    void leaseChanged(std::uint64_t term, const std::string& controller);
    void leaseFailed();
    void startControl(std::uint64_t term, bool mayPlan);
    void stopControl(std::uint64_t term);
    std::string metricsText() const;

    EventLoop& loop_;
    const Clock& clock_;
    Random& random_;
    RankAgentSettings settings_;
    RankAgentPlatform platform_;
    DecisionLog& log_;
    // Name of this incarnation of the process. It identifies the lease that this process holds.
    std::string incarnationName_;
    HybridClock hybridClock_;
    std::unique_ptr<RankEngine> engine_;
    RankAgent agent_;
    std::unique_ptr<LinkServer> server_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::unique_ptr<ControllerLease> lease_;
    std::string leaseGroup_;
    std::unique_ptr<GroupControl> control_;
    std::unique_ptr<Timer> timer_;
    std::unique_ptr<Timer> registerTimer_;
    std::unique_ptr<Timer> agentsTimer_;
    // The agents of the group when the table was last read.
    std::vector<RankAgentRow> knownAgents_;
    TimePoint leaseTriedAt_;
    StoreGeneration storeGeneration_ { 0 };
    TimePoint reportRequestedAt_;
};

}
