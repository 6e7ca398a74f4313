#pragma once

#include "RankMaps/GroupMember.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpServer.h"
#include "Transport/LinkServer.h"

#include <memory>
#include <string>

namespace Damaskgrade {

// The agent process beside one rank: its links, its metrics and its end.
class RankAgentProcess {
public:
    RankAgentProcess(EventLoop& loop, const Clock& clock, Random& random, const RankAgentSettings& settings, RankAgentPlatform platform, DecisionLog& log);
    ~RankAgentProcess();
    RankAgentProcess(const RankAgentProcess&) = delete;
    RankAgentProcess& operator=(const RankAgentProcess&) = delete;

    void handleStoreGeneration(StoreGeneration generation) { member_.handleStoreGeneration(generation); }

private:
    std::string metricsText() const;

    const Clock& clock_;
    DecisionLog& log_;
    GroupMember member_;
    LinkServer server_;
    HttpServer metricsServer_;
    std::unique_ptr<Timer> logTimer_;
};

}
