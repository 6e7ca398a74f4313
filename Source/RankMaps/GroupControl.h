#pragma once

#include "Catalog/CatalogSource.h"
#include "Logging/DecisionLog.h"
#include "Platform/Table.h"
#include "RankMaps/ControlBudget.h"
#include "RankMaps/LoadOrderEncoder.h"
#include "RankMaps/MapPlanner.h"
#include "RankMaps/ProcessPauseDetector.h"
#include "RankMaps/RankAgentRows.h"
#include "RankMaps/RankAgentSettings.h"
#include "RankMaps/RankEngine.h"
#include "RankMaps/RankMessages.h"
#include "RankMaps/RelayTree.h"
#include "RankMaps/SwitchController.h"
#include "Transport/ProcessLinks.h"
#include "Transport/TaskScheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Damaskgrade {

struct GroupControlDependencies {
    Table& table;
    CatalogSource& catalog;
    // Creates a client that reaches an engine over the network, for holds and for ranks whose agent does not respond.
    std::function<std::unique_ptr<RankEngine>(const Endpoint&)> remoteEngine;
    // Creates the links to the agents of the group.
    MakeProcessLinks makeLinks;
    // Called when another controller has a higher term: with that term, or with the current one if it is not known.
    std::function<void(std::uint64_t term)> onLeadershipLost;
    // Agents of the group that are already known, so that control can start while the table is unavailable.
    std::vector<RankAgentRow> knownAgents;
    // Name of the agent that controlled the group before; empty if there was none or it was this agent.
    std::string predecessor;
};

// Controls the expert maps of one group: polls the agents of all ranks, plans map changes and executes them. Maps and counts
// go through trees of agents, one for each availability zone, because the link of one agent does not carry those of all
// ranks of a large group. Everything else is small and goes directly to each agent.
// Unless mayPlan is set, it starts no changes and only completes those that are in progress.
class GroupControl {
public:
    GroupControl(TaskScheduler& scheduler, const Clock& clock, const RankAgentSettings& settings, const std::string& group, std::uint32_t localRank,
        std::uint64_t term, bool mayPlan, GroupControlDependencies dependencies, DecisionLog& log);
    ~GroupControl();
    GroupControl(const GroupControl&) = delete;
    GroupControl& operator=(const GroupControl&) = delete;

    std::uint64_t term() const { return term_; }
    bool mayPlan() const { return mayPlan_; }
    double skew() const { return planner_ ? planner_->skew() : 0; }
    const SwitchCounters& counters() const { return switch_.counters(); }
    Duration lastChangeTime() const { return switch_.lastChangeTime(); }
    // Number of ranks whose counts arrived in the last complete round.
    std::uint32_t countedRanks() const { return countedRanks_; }

private:
    // An agent of the group and the rank that it serves.
    struct Member {
        Endpoint link;
        Endpoint engine;
        std::string availabilityZone;
        std::uint32_t rank { 0 };
        bool isRankKnown { false };
        // The rank belongs to another group of the service.
        bool isInOtherGroup { false };
        // Version of the last map that the agent has, as it reported; 0 if there is none.
        RankMapVersion knownMap { 0 };
        // Since when the agent owes a status.
        std::optional<TimePoint> unansweredSince;
        std::unique_ptr<RankEngine> remote;
        bool isRemoteReportPending { false };
    };

    void readMembers();
    void addMembers(const std::vector<RankAgentRow>& agents);
    void readEngineModel();
    void tick();
    void pollMembers();
    bool areListsRequired() const;
    void requestCounts();
    void receiveCounts(const RankCounts& counts);
    void receive(const std::string& agent, const Frame& frame);
    void receiveResult(const RankOrderResultMessage& result);
    void receiveStatus(const RankStatus& status);
    void forgetReplacedMembers(const std::string& agent, std::uint32_t rank);
    void recordLists(std::uint32_t rank, const RankLists& lists);
    std::optional<GroupMap> mapInUse() const;
    void sendOrder(std::uint32_t rank, const RankOrder& order);
    RankOrderMessage messageOf(const RankOrder& order) const;
    void sendRemoteOrder(const std::string& name, Member& member, const RankOrder& order);
    void sendRemoteLoads();
    std::size_t remoteLoadBytes() const;
    void sendLoads();
    std::vector<RelayBranch> branchesByZone(const std::vector<std::string>& names, std::size_t round) const;
    std::string nameOf(const Endpoint& link) const;
    std::chrono::milliseconds pollPeriod() const;
    std::chrono::milliseconds countPeriod() const;
    std::chrono::milliseconds loadTime(std::size_t bytes) const;
    bool isOnlyPredecessorMissing() const;
    void requestEngineReport(const std::string& name, Member& member);
    void requestEngineLists(Member& member);
    bool isDemandShifting();
    void plan();
    void createPlanner();
    void resetAfterPause();
    bool isResponsive(const std::string& name, const Member& member) const;
    bool isOverdue(const Member& member) const;
    bool canLoadEverywhere() const;
    RankEngine& remoteEngine(Member& member);

    TaskScheduler& scheduler_;
    const Clock& clock_;
    const RankAgentSettings& settings_;
    std::string group_;
    std::uint64_t term_;
    bool mayPlan_;
    GroupControlDependencies dependencies_;
    DecisionLog& log_;
    HybridClock hybridClock_;
    SwitchController switch_;
    std::optional<EngineModel> engineModel_;
    std::uint32_t requestSlotsPerRank_ { 0 };
    std::unique_ptr<MapPlanner> planner_;
    // The expert lists that each rank last reported.
    std::map<std::uint32_t, RankLists> lists_;
    std::map<std::string, Member> members_;
    LoadOrderEncoder loadOrders_;
    // The map to load, and the agents that it has yet to be sent to. They are sent it together.
    RankOrder loadOrder_;
    std::vector<std::string> loadTargets_;
    // How often the map was sent.
    std::size_t loadRound_ { 0 };
    // Agents that do not respond, whose engines have yet to be sent the map directly, and whether such an order is under
    // way.
    std::set<std::string> remoteLoadTargets_;
    bool isRemoteLoadPending_ { false };
    // Number of the last request for counts, and how many responses to it are missing.
    std::uint64_t countRound_ { 0 };
    std::size_t missingCounts_ { 0 };
    std::uint32_t countedRanks_ { 0 };
    std::uint32_t ranksOfRound_ { 0 };
    bool areCountsNew_ { false };
    // The skew after the last round of counts, and for how many rounds a plan has been put off.
    double lastSkew_ { 0 };
    int deferredRounds_ { 0 };
    std::unique_ptr<ProcessLinks> links_;
    ControlBudget budget_;
    std::unique_ptr<Timer> timer_;
    std::unique_ptr<Timer> memberTimer_;
    std::unique_ptr<Timer> engineModelTimer_;
    TimePoint nextPoll_;
    TimePoint nextCounts_;
    // When a plan no longer waits for missing counts.
    TimePoint countsDueAt_;
    ProcessPauseDetector pauseDetector_;
    // Reports that are received before this time are ignored.
    TimePoint ignoreReportsUntil_;
    std::uint64_t plannedEpoch_ { 0 };
    GroupMap pendingMap_;
    std::uint64_t handledCompletions_ { 0 };
    // Set to false on destruction; callbacks of the table, the catalog and the engines check it.
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}
