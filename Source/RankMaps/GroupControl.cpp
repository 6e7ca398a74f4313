#include "RankMaps/GroupControl.h"

#include "Core/Error.h"
#include "RankMaps/RankAgentRows.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 30 };
// Period between reads of the agents' rows while the report of a rank or the link to an agent is missing.
constexpr std::chrono::milliseconds missingMemberScanPeriod { 1000 };
// Period between reads of the agents' rows while all reports and links are present.
constexpr std::chrono::milliseconds memberScanPeriod { 15000 };
constexpr std::chrono::milliseconds engineModelRetryDelay { 1000 };
constexpr std::chrono::milliseconds planPeriod { 120 };
constexpr int permille = 1000;
// Responses that arrived during a process pause are read from the links within this time.
constexpr std::chrono::milliseconds staleReportPeriod { 100 };

}

GroupControl::GroupControl(TaskScheduler& scheduler, const Clock& clock, const RankAgentSettings& settings, const std::string& group, std::uint32_t localRank,
    std::uint64_t term, bool mayPlan, GroupControlDependencies dependencies, DecisionLog& log)
    : scheduler_(scheduler)
    , clock_(clock)
    , settings_(settings)
    , group_(group)
    , term_(term)
    , mayPlan_(mayPlan)
    , dependencies_(std::move(dependencies))
    , log_(log)
    , hybridClock_(clock)
    , switch_(
          clock, {}, localRank, [this](std::uint32_t rank, const RankOrder& order) { sendOrder(rank, order); }, [this] { return mapInUse(); },
          [this](std::string_view decision, RankMapVersion version, std::uint64_t pass) {
              log_.write(LogLine("mapChange").add("decision", decision).add("group", group_).add("version", version).add("pass", pass).add("term", term_).add("epoch", switch_.epoch()));
          })
    , links_(dependencies_.makeLinks({ [](const std::string&) {}, [this](const std::string& name, const Frame& frame) { receive(name, frame); }, [](const std::string&) {} }))
    , nextPoll_(clock.now())
    , nextCounts_(clock.now())
    , nextPlan_(clock.now())
    , pauseDetector_(clock, settings.controllerTimeout)
{
    switch_.setFencingToken(term_);
    addMembers(dependencies_.knownAgents);
    readMembers();
    if (mayPlan_)
        readEngineModel();
    timer_ = scheduler_.every(tickPeriod, [this] { tick(); });
}

GroupControl::~GroupControl()
{
    *alive_ = false;
}

void GroupControl::readMembers()
{
    std::shared_ptr<bool> alive = alive_;
    dependencies_.table.scan(rankAgentGroupPrefix(group_), [this, alive](const TableReadResult& result) {
        if (!*alive)
            return;
        addMembers(parseRankAgentRows(result.rows));
        std::size_t size = switch_.reports().empty() ? 0 : switch_.reports().begin()->second.groupSize;
        bool isComplete = size > 0 && switch_.reports().size() == size && links_->openCount() >= size;
        memberTimer_ = scheduler_.after(isComplete ? memberScanPeriod : missingMemberScanPeriod, [this] { readMembers(); });
    });
}

void GroupControl::addMembers(const std::vector<RankAgentRow>& agents)
{
    for (const RankAgentRow& agent : agents) {
        bool isNew = members_.count(agent.name) == 0;
        Member& member = members_[agent.name];
        member.link = agent.link;
        member.engine = agent.engine;
        if (isNew)
            member.lastSeen = clock_.now();
    }
    std::map<std::string, Endpoint> targets;
    for (const auto& [name, member] : members_) {
        if (!member.isInOtherGroup)
            targets[name] = member.link;
    }
    links_->setTargets(targets);
}

void GroupControl::readEngineModel()
{
    std::shared_ptr<bool> alive = alive_;
    dependencies_.catalog.read([this, alive](const CatalogReadResult& result) {
        if (!*alive)
            return;
        const ServiceSpecification* service = result.version.catalog ? result.version.catalog->findService(settings_.service) : nullptr;
        if (!service || !service->engine) {
            engineModelTimer_ = scheduler_.after(engineModelRetryDelay, [this] { readEngineModel(); });
            return;
        }
        engineModel_ = *service->engine;
        requestSlotsPerRank_ = engineModel_->slots;
    });
}

// Does nothing until both the engine model and the size of the group are known. They arrive in any order.
void GroupControl::createPlanner()
{
    if (planner_ || !engineModel_ || switch_.reports().empty())
        return;
    const EngineModel& engine = *engineModel_;
    std::uint32_t ranks = switch_.reports().begin()->second.groupSize;
    ExpertLayout layout { ranks, engine.expertSets, engine.expertsPerSet, engine.expertSlotsPerRank, std::max(1U, engine.spareExpertSlots) };
    if (layout.sets > 0 && layout.expertsPerSet > 0 && ranks > 0)
        planner_ = std::make_unique<MapPlanner>(clock_, layout, MapPlannerSettings {});
}

void GroupControl::tick()
{
    TimePoint now = clock_.now();
    resetAfterPause();
    createPlanner();
    if (now >= nextPoll_) {
        nextPoll_ = now + pollPeriod();
        pollMembers();
    }
    switch_.tick();
    if (isOnlyPredecessorMissing())
        switch_.tickWithoutPredecessor();
    if (switch_.counters().completed != handledCompletions_) {
        handledCompletions_ = switch_.counters().completed;
        if (planner_ && !pendingMap_.empty())
            planner_->setMap(switch_.mapVersion(), pendingMap_);
        pendingMap_.clear();
    }
    if (planner_ && switch_.epoch() != plannedEpoch_) {
        plannedEpoch_ = switch_.epoch();
        pendingMap_.clear();
    }
    if (planner_ && now >= nextPlan_ && switch_.canStart()) {
        nextPlan_ = now + planPeriod;
        plan();
    }
}

// During a change the members are polled more often. In a large group the period grows with the number of ranks, so
// that the controller has time left to send its orders.
std::chrono::milliseconds GroupControl::pollPeriod() const
{
    constexpr std::chrono::microseconds pollTimePerRank { 2000 };
    if (switch_.stage() == SwitchStage::Idle)
        return settings_.pollPeriod;
    auto minimumPeriod = std::chrono::duration_cast<std::chrono::milliseconds>(pollTimePerRank * switch_.reports().size());
    return std::max(settings_.changePollPeriod, minimumPeriod);
}

void GroupControl::pollMembers()
{
    RankStatusRequest request;
    request.group = group_;
    request.term = term_;
    request.controller = settings_.name;
    bool areCountsDue = planner_ && clock_.now() >= nextCounts_;
    // After a group restart the lists are requested before the group opens, so that the first map can be planned at once.
    bool isPlanPending = planner_ && switch_.stage() == SwitchStage::Idle && !planner_->hasMap(switch_.mapVersion());
    request.includeLists = isPlanPending || (switch_.needsMapInUse() && !mapInUse());
    Frame frame = encodeMessage(request, hybridClock_.tick());
    request.includeCounts = true;
    Frame frameWithCounts = encodeMessage(request, hybridClock_.tick());
    std::set<std::string> countMembers = areCountsDue ? selectMembersForCounts() : std::set<std::string>();
    bool isChangeInProgress = switch_.stage() != SwitchStage::Idle;
    for (auto& [name, member] : members_) {
        bool areCountsRequested = countMembers.count(name) != 0;
        bool isPolled = !member.isInOtherGroup && (areCountsRequested || request.includeLists || !member.isRankKnown || switch_.isWaitingFor(member.rank));
        if (!isPolled)
            continue;
        links_->send(name, areCountsRequested ? frameWithCounts : frame);
        // A held group can't wait until an agent is available again. Whether the group is held is known only after all
        // ranks have reported.
        bool isReportRequired = isChangeInProgress || !switch_.isComplete();
        if (isReportRequired && clock_.now() - member.lastSeen >= settings_.agentTimeout)
            requestEngineReport(name, member);
    }
}

// Selects the members that report counts next, in turn. In a large group only some members report in each period,
// because the counts of all of them would saturate the controller's link. Their counts are a sample for the whole group.
std::set<std::string> GroupControl::selectMembersForCounts()
{
    nextCounts_ = clock_.now() + settings_.countPollPeriod;
    std::set<std::string> selected;
    auto next = members_.upper_bound(lastCountMember_);
    for (std::size_t i = 0; i < members_.size() && selected.size() < settings_.maxCountRequestsPerPeriod; ++i, ++next) {
        if (next == members_.end())
            next = members_.begin();
        if (!next->second.isInOtherGroup)
            selected.insert(lastCountMember_ = next->first);
    }
    return selected;
}

// Requests the report directly from the engine of an agent that does not respond.
void GroupControl::requestEngineReport(const std::string& name, Member& member)
{
    if (member.isRemoteReportPending)
        return;
    member.isRemoteReportPending = true;
    std::shared_ptr<bool> alive = alive_;
    remoteEngine(member).report([this, alive, name](std::optional<RankReport> report) {
        if (!*alive)
            return;
        resetAfterPause();
        Member& polledMember = members_[name];
        polledMember.isRemoteReportPending = false;
        if (!report || report->group != group_)
            return;
        polledMember.rank = report->rank;
        polledMember.isRankKnown = true;
        switch_.observe(*report);
        if (switch_.needsMapInUse())
            requestEngineLists(polledMember);
    });
}

void GroupControl::requestEngineLists(Member& member)
{
    std::shared_ptr<bool> alive = alive_;
    remoteEngine(member).lists([this, alive, rank = member.rank](std::optional<RankLists> lists) {
        if (*alive && lists)
            recordLists(rank, *lists);
    });
}

void GroupControl::receive(const std::string&, const Frame& frame)
{
    resetAfterPause();
    hybridClock_.observe(frame.time);
    try {
        if (frame.type == RankStatus::type) {
            receiveStatus(decodeRankStatus(frame.body));
        } else if (frame.type == RankOrderResultMessage::type) {
            receiveResult(decodeRankOrderResult(frame.body));
        }
    } catch (const Error& error) {
        LOG(WARNING) << "rejected a frame from a rank agent: " << error.what();
    }
}

void GroupControl::receiveResult(const RankOrderResultMessage& result)
{
    if (result.term > term_ || result.result == RankOrderResult::Fenced) {
        dependencies_.onLeadershipLost(std::max(result.term, term_));
        return;
    }
    auto member = members_.find(result.agent);
    if (member == members_.end())
        return;
    if (result.result == RankOrderResult::BaseMissing)
        member->second.sentMap = 0;
    switch_.handleOrderResult(member->second.rank, result.kind, result.version, result.pass, result.result);
}

void GroupControl::receiveStatus(const RankStatus& status)
{
    auto found = members_.find(status.agent);
    if (status.report && status.report->group != group_) {
        if (found != members_.end())
            found->second.isInOtherGroup = true;
        return;
    }
    if (status.term > term_) {
        dependencies_.onLeadershipLost(status.term);
        return;
    }
    if (found == members_.end() || !status.report || clock_.now() < ignoreReportsUntil_)
        return;
    Member& member = found->second;
    member.lastSeen = clock_.now();
    member.rank = status.report->rank;
    member.engine = status.engine;
    member.isRankKnown = true;
    switch_.observe(*status.report);
    if (planner_ && !status.counts.empty()) {
        std::vector<double> counts;
        counts.reserve(status.counts.size());
        for (std::uint16_t count : status.counts)
            counts.push_back(count * status.countUnit);
        planner_->addCounts(counts);
    }
    if (status.lists)
        recordLists(member.rank, *status.lists);
    switch_.tick();
}

void GroupControl::recordLists(std::uint32_t rank, const RankLists& lists)
{
    lists_[rank] = lists;
    if (planner_)
        planner_->setExperts(rank, lists.version, lists.experts);
}

// Returns std::nullopt until all ranks have reported their experts under the map in use.
std::optional<GroupMap> GroupControl::mapInUse() const
{
    std::size_t ranks = switch_.reports().size();
    GroupMap map;
    for (const auto& [rank, report] : switch_.reports()) {
        auto found = lists_.find(rank);
        if (found == lists_.end() || found->second.version != switch_.mapVersion() || rank >= ranks)
            return std::nullopt;
        const RankExperts& experts = found->second.experts;
        map.resize(std::max(map.size(), experts.size()), std::vector<std::vector<std::uint32_t>>(ranks));
        for (std::size_t set = 0; set < experts.size(); ++set)
            map[set][rank] = experts[set];
    }
    return map;
}

// During a process pause another controller may have taken over. Discards all reports; the new ones carry the higher
// term if this has happened.
void GroupControl::resetAfterPause()
{
    if (!pauseDetector_.check())
        return;
    log_.write(LogLine("controllerStoodStill").add("group", group_).add("term", term_));
    switch_.reset();
    lists_.clear();
    // Responses that were received during the pause are as old as the discarded reports.
    ignoreReportsUntil_ = clock_.now() + staleReportPeriod;
    nextPoll_ = ignoreReportsUntil_;
}

void GroupControl::sendOrder(std::uint32_t rank, const RankOrder& order)
{
    for (auto& [name, member] : members_) {
        if (!member.isRankKnown || member.rank != rank)
            continue;
        // A hold is always sent directly to the engine over the network and not through its agent. If the sending machine
        // pauses right after the order, the held engine is on another machine, so the next controller can release the pass.
        if (isResponsive(name, member) && order.kind != RankOrderKind::Hold)
            sendOrderToAgent(name, member, order);
        else
            sendRemoteOrder(name, member, order);
        return;
    }
}

void GroupControl::sendRemoteOrder(const std::string& name, Member& member, const RankOrder& order)
{
    std::shared_ptr<bool> alive = alive_;
    remoteEngine(member).order(order, [this, alive, name, rank = member.rank, kind = order.kind, version = order.version, pass = order.pass](RankOrderResult result) {
        if (!*alive)
            return;
        resetAfterPause();
        if (result == RankOrderResult::Fenced) {
            dependencies_.onLeadershipLost(term_);
            return;
        }
        switch_.handleOrderResult(rank, kind, version, pass, result);
        if (result == RankOrderResult::Accepted)
            links_->send(name, encodeMessage(RankStatusRequest { group_, term_, settings_.name, false, false }, hybridClock_.tick()));
    });
}

// Returns whether the ranks of all members are known except that of the previous controller.
bool GroupControl::isOnlyPredecessorMissing() const
{
    return !switch_.isComplete() && !dependencies_.predecessor.empty() && std::all_of(members_.begin(), members_.end(), [this](const auto& entry) {
        const Member& member = entry.second;
        return member.isInOtherGroup || member.isRankKnown != (entry.first == dependencies_.predecessor);
    });
}

void GroupControl::sendOrderToAgent(const std::string& name, Member& member, const RankOrder& order)
{
    RankOrderMessage message;
    message.group = group_;
    message.term = term_;
    message.controller = settings_.name;
    message.order = order;
    if (order.kind != RankOrderKind::Prepare) {
        links_->send(name, encodeMessage(message, hybridClock_.tick()));
        return;
    }
    links_->send(name, loadOrders_.encode(message, member.sentMap, hybridClock_.tick()));
    member.sentMap = order.version;
}

void GroupControl::plan()
{
    double running = 0;
    for (const auto& [rank, report] : switch_.reports())
        running += report.running;
    double utilization = running / std::max(1.0, static_cast<double>(requestSlotsPerRank_) * static_cast<double>(switch_.reports().size()));
    std::optional<MapPlan> plan = planner_->plan(switch_.mapVersion(), utilization);
    if (!plan)
        return;
    log_.write(LogLine("mapPlanned").add("group", group_).add("skewBeforePermille", static_cast<std::int64_t>(plan->skewBefore * permille)).add("skewAfterPermille", static_cast<std::int64_t>(plan->skewAfter * permille)).add("loads", static_cast<std::int64_t>(plan->loads)));
    pendingMap_ = plan->map;
    switch_.start(plan->map);
}

bool GroupControl::isResponsive(const std::string& name, const Member& member) const
{
    return links_->isOpen(name) && clock_.now() - member.lastSeen < settings_.agentTimeout;
}

RankEngine& GroupControl::remoteEngine(Member& member)
{
    if (!member.remote)
        member.remote = dependencies_.remoteEngine(member.engine);
    return *member.remote;
}

}
