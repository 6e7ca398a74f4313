#pragma once

#include "Core/Random.h"
#include "RankMaps/ControllerLease.h"
#include "RankMaps/ControllerSuspicion.h"
#include "RankMaps/CountCollection.h"
#include "RankMaps/DelayedTasks.h"
#include "RankMaps/GroupControl.h"
#include "RankMaps/RankAgent.h"
#include "RankMaps/RankAgentSettings.h"
#include "RankMaps/RelayLinks.h"
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

// What one rank agent does in its group: registers, serves the controller, passes its messages on to other agents, and
// becomes the controller if there is none. The process around it provides the links and the timers.
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
    std::size_t relayLinkCount() const { return relayLinks_.size(); }
    // Null unless this agent controls its group.
    const GroupControl* control() const { return control_.get(); }

private:
    void registerAgent();
    void readAgents();
    void receiveStatusRequest(const std::shared_ptr<LinkSession>& session, const RankStatusRequest& request);
    void receiveOrder(const std::shared_ptr<LinkSession>& session, RankOrderMessage message);
    void receiveCountsRequest(const std::shared_ptr<LinkSession>& session, const RankCountsRequest& request);
    void receiveFromReceiver(const Frame& frame);
    void observeTerm(std::uint64_t term);
    void tick();
    void askController();
    void receiveAnswer(const Frame& frame);
    std::optional<Endpoint> controllerLink() const;
    bool isLeaseLost() const;
    void scheduleAgentScan(std::chrono::milliseconds delay);
    void takeOverIfControllerTimedOut();
    bool isControllerLost(std::uint32_t rank);
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
    DelayedTasks delayedTasks_;
    RankAgent agent_;
    // The session of the controller with the highest term, on which also orders are answered that other agents passed on.
    std::weak_ptr<LinkSession> controllerSession_;
    std::uint64_t controllerSessionTerm_ { 0 };
    RelayLinks relayLinks_;
    CountCollection countCollection_;
    // Where the sum of the counts is sent.
    std::weak_ptr<LinkSession> countsSession_;
    ControllerSuspicion suspicion_;
    std::unique_ptr<ProcessLinks> controllerLink_;
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
