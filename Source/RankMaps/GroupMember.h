#pragma once

#include "Core/Random.h"
#include "RankMaps/ControllerLease.h"
#include "RankMaps/GroupControl.h"
#include "RankMaps/RankAgent.h"
#include "RankMaps/RankAgentSettings.h"
#include "Transport/Link.h"
#include "Transport/ProcessLinks.h"
#include "Transport/TaskScheduler.h"

#include <functional>
#include <memory>

namespace Damaskgrade {

// The platform services that a rank agent uses.
struct RankAgentPlatform {
    Table& table;
    CatalogSource& catalog;
    std::function<std::unique_ptr<RankEngine>(const Endpoint&)> engine;
};

// What one rank agent does in its group: registers, serves the controller, and becomes the controller if no message of
// one is received within the timeout. The process around it provides the links and the timers.
class GroupMember {
public:
    GroupMember(TaskScheduler& scheduler, const Clock& clock, Random& random, RankAgentSettings settings, RankAgentPlatform platform, MakeProcessLinks makeLinks, DecisionLog& log);
    ~GroupMember();
    GroupMember(const GroupMember&) = delete;
    GroupMember& operator=(const GroupMember&) = delete;

    // Handles the generation that the table has stated. Lower generations than before, of late responses, are ignored.
    void handleStoreGeneration(StoreGeneration generation);

    // Handles a frame from another agent of the group.
    void receive(const std::shared_ptr<LinkSession>& session, const Frame& frame);

    const RankAgent& agent() const { return agent_; }
    // Null unless this agent controls its group.
    const GroupControl* control() const { return control_.get(); }

private:
    void registerAgent();
    void readAgents();
    void tick();
    bool isLeaseLost() const;
    void scheduleAgentScan(std::chrono::milliseconds delay);
    void takeOverIfControllerTimedOut();
    void leaseChanged(std::uint64_t term, const std::string& controller);
    void leaseFailed();
    void startControl(std::uint64_t term, bool mayPlan);
    void stopControl(std::uint64_t term);

    TaskScheduler& scheduler_;
    const Clock& clock_;
    Random& random_;
    RankAgentSettings settings_;
    RankAgentPlatform platform_;
    MakeProcessLinks makeLinks_;
    DecisionLog& log_;
    // Name of this incarnation of the process. It identifies the lease that this process holds.
    std::string incarnationName_;
    HybridClock hybridClock_;
    std::unique_ptr<RankEngine> engine_;
    RankAgent agent_;
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
