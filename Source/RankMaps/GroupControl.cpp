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
// Approximate size of a request and of a status on the link, with the headers of the frame.
constexpr std::size_t statusBytes = 300;
// Size of the headers of a message with counts on the link.
constexpr std::size_t frameBytes = 200;
// Time in which an agent starts to pass a message on, beside the time that its link needs.
constexpr std::chrono::milliseconds relayTime { 30 };
// An order to load a map that is sent to an engine over the network has this many bytes for each expert of the map.
constexpr std::size_t remoteLoadBytesPerExpert = 5;
// A change is only started if the maps that have to be sent over the network are transmitted in this time.
constexpr std::chrono::milliseconds maxRemoteLoadTime { 1000 };
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
    , budget_(settings.linkBytesPerSecond)
    , nextPoll_(clock.now())
    , nextCounts_(clock.now())
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
        Member& member = members_[agent.name];
        member.link = agent.link;
        member.engine = agent.engine;
        member.availabilityZone = agent.availabilityZone;
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
    MapPlannerSettings plannerSettings;
    plannerSettings.requestSlots = static_cast<std::size_t>(requestSlotsPerRank_) * ranks;
    if (layout.sets > 0 && layout.expertsPerSet > 0 && ranks > 0)
        planner_ = std::make_unique<MapPlanner>(clock_, layout, plannerSettings);
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
    if (planner_ && now >= nextCounts_)
        requestCounts();
    switch_.tick();
    if (isOnlyPredecessorMissing())
        switch_.tickWithoutPredecessor();
    sendLoads();
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
    bool areCountsComplete = missingCounts_ == 0 || now >= countsDueAt_;
    if (planner_ && areCountsNew_ && areCountsComplete && switch_.canStart() && canLoadEverywhere()) {
        areCountsNew_ = false;
        if (!isDemandShifting())
            plan();
        sendLoads();
    }
}

// Returns whether the counts show only a part of a shift of the demand yet: the skew still rises from one round of counts
// to the next. A map for such counts would have to be replaced as soon as it is in use.
bool GroupControl::isDemandShifting()
{
    constexpr double risingFactor = 1.1;
    constexpr int maxDeferredRounds = 1;
    double skew = planner_->skew();
    bool isRising = skew > lastSkew_ * risingFactor && lastSkew_ > 0;
    lastSkew_ = skew;
    deferredRounds_ = isRising && deferredRounds_ < maxDeferredRounds ? deferredRounds_ + 1 : 0;
    return deferredRounds_ > 0;
}

// During a change, and while something is missing to start one, the members are polled more often. In a large group the
// period grows with the number of ranks.
std::chrono::milliseconds GroupControl::pollPeriod() const
{
    std::size_t bytes = statusBytes * switch_.reports().size();
    if (switch_.stage() == SwitchStage::Idle && switch_.isComplete() && !areListsRequired())
        return std::max(settings_.pollPeriod, budget_.periodOf(bytes, settings_.statusLinkShare));
    return std::max(settings_.changePollPeriod, budget_.periodOf(bytes, settings_.changeLinkShare));
}

// The controller receives the counts of each availability zone, and other agents those of the agents that they pass the
// request on to.
std::chrono::milliseconds GroupControl::countPeriod() const
{
    std::set<std::string> zones;
    for (const auto& [name, member] : members_)
        zones.insert(member.availabilityZone);
    std::size_t counts = static_cast<std::size_t>(planner_->layout().sets) * planner_->layout().expertsPerSet;
    std::size_t messages = std::max(zones.size(), relayFanOut + 1);
    return std::max(settings_.countPollPeriod, budget_.periodOf(messages * (counts + frameBytes), settings_.countLinkShare));
}

void GroupControl::pollMembers()
{
    RankStatusRequest request;
    request.group = group_;
    request.term = term_;
    request.controller = settings_.name;
    request.includeLists = areListsRequired();
    Frame frame = encodeMessage(request, hybridClock_.tick());
    bool isChangeInProgress = switch_.stage() != SwitchStage::Idle;
    for (auto& [name, member] : members_) {
        bool isPolled = !member.isInOtherGroup && (request.includeLists || !member.isRankKnown || switch_.isWaitingFor(member.rank));
        if (!isPolled)
            continue;
        links_->send(name, frame);
        if (!member.unansweredSince)
            member.unansweredSince = clock_.now();
        // A held group can't wait until an agent is available again. Whether the group is held is known only after all
        // ranks have reported.
        bool isReportRequired = isChangeInProgress || !switch_.isComplete() || request.includeLists;
        if (isReportRequired && isOverdue(member))
            requestEngineReport(name, member);
    }
}

// After a group restart the lists are requested before the group opens, so that the first map can be planned at once.
bool GroupControl::areListsRequired() const
{
    bool isPlanPending = planner_ && switch_.stage() == SwitchStage::Idle && !planner_->hasMap(switch_.mapVersion());
    return isPlanPending || (switch_.needsMapInUse() && !mapInUse());
}

void GroupControl::requestCounts()
{
    std::vector<std::string> names;
    for (const auto& [name, member] : members_) {
        if (!member.isInOtherGroup && member.isRankKnown && isResponsive(name, member))
            names.push_back(name);
    }
    RankCountsRequest request;
    request.group = group_;
    request.term = term_;
    request.controller = settings_.name;
    request.round = ++countRound_;
    // The next round begins only after the last response.
    std::chrono::milliseconds period = countPeriod();
    request.wait = period / 2;
    countsDueAt_ = clock_.now() + period * 3 / 4;
    nextCounts_ = clock_.now() + period;
    countedRanks_ = std::exchange(ranksOfRound_, 0);
    std::vector<RelayBranch> branches = branchesByZone(names, 0);
    missingCounts_ = branches.size();
    for (RelayBranch& branch : branches) {
        request.receivers = std::move(branch.rest);
        links_->send(nameOf(branch.head), encodeMessage(request, hybridClock_.tick()));
    }
}

void GroupControl::receiveCounts(const RankCounts& counts)
{
    if (counts.round != countRound_ || missingCounts_ == 0)
        return;
    --missingCounts_;
    ranksOfRound_ += counts.ranks;
    if (!planner_ || counts.ranks == 0)
        return;
    planner_->addCounts(unpackCounts(counts).counts);
    areCountsNew_ = true;
}

// Returns the branches of a tree for each availability zone. The local agent is a branch of its own, as messages to it do
// not use the link. In another round other agents pass the message on.
std::vector<RelayBranch> GroupControl::branchesByZone(const std::vector<std::string>& names, std::size_t round) const
{
    std::map<std::string, std::vector<Endpoint>> receivers;
    std::vector<RelayBranch> branches;
    for (const std::string& name : names) {
        const Member& member = members_.at(name);
        if (name == settings_.name)
            branches.push_back({ member.link, {} });
        else
            receivers[member.availabilityZone].push_back(member.link);
    }
    for (auto& [zone, links] : receivers) {
        std::rotate(links.begin(), links.begin() + static_cast<std::ptrdiff_t>(round % links.size()), links.end());
        for (RelayBranch& branch : splitIntoBranches(links, 1))
            branches.push_back(std::move(branch));
    }
    return branches;
}

std::string GroupControl::nameOf(const Endpoint& link) const
{
    auto found = std::find_if(members_.begin(), members_.end(), [&link](const auto& entry) { return entry.second.link == link; });
    return found == members_.end() ? std::string() : found->first;
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
        if (areListsRequired())
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
        } else if (frame.type == RankCounts::type) {
            receiveCounts(decodeRankCounts(frame.body));
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
        member->second.knownMap = 0;
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
    member.unansweredSince.reset();
    member.rank = status.report->rank;
    forgetReplacedMembers(status.agent, member.rank);
    member.engine = status.engine;
    member.isRankKnown = true;
    switch_.observe(*status.report);
    if (status.report->prepared == loadOrder_.version)
        member.knownMap = loadOrder_.version;
    if (status.lists)
        recordLists(member.rank, *status.lists);
    switch_.tick();
}

// An agent on another machine may serve the rank now. Orders must not go to the one before.
void GroupControl::forgetReplacedMembers(const std::string& agent, std::uint32_t rank)
{
    for (auto& [name, member] : members_) {
        if (name != agent && member.isRankKnown && member.rank == rank && !isResponsive(name, member))
            member.isRankKnown = false;
    }
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
    if (order.kind == RankOrderKind::Prepare && order.version != loadOrder_.version) {
        loadOrder_ = order;
        loadTargets_.clear();
        remoteLoadTargets_.clear();
        loadRound_ = 0;
    }
    for (auto& [name, member] : members_) {
        if (!member.isRankKnown || member.rank != rank)
            continue;
        bool isLoad = order.kind == RankOrderKind::Prepare;
        // A hold is always sent directly to the engine over the network and not through its agent. If the sending machine
        // pauses right after the order, the held engine is on another machine, so the next controller can release the pass.
        bool isRemote = !isResponsive(name, member) || order.kind == RankOrderKind::Hold;
        if (isLoad && isRemote)
            remoteLoadTargets_.insert(name);
        else if (isLoad)
            loadTargets_.push_back(name);
        else if (isRemote)
            sendRemoteOrder(name, member, order);
        else
            links_->send(name, encodeMessage(messageOf(order), hybridClock_.tick()));
        return;
    }
}

RankOrderMessage GroupControl::messageOf(const RankOrder& order) const
{
    RankOrderMessage message;
    message.group = group_;
    message.term = term_;
    message.controller = settings_.name;
    message.order = order;
    message.order.map = nullptr;
    return message;
}

// Sends the map to all agents that it has to be sent to. Each time other agents pass it on, because those that passed it on
// the last time may have been the reason why it did not arrive.
void GroupControl::sendLoads()
{
    sendRemoteLoads();
    if (loadTargets_.empty())
        return;
    std::vector<std::string> names = std::exchange(loadTargets_, {});
    RankMapVersion base = members_[names.front()].knownMap;
    bool haveSameBase = std::all_of(names.begin(), names.end(), [this, base](const std::string& name) { return members_[name].knownMap == base; });
    const EncodedMap& encoded = loadOrders_.encode(loadOrder_.version, loadOrder_.map, haveSameBase ? base : 0);
    RankOrderMessage message = messageOf(loadOrder_);
    message.baseVersion = encoded.baseVersion;
    message.encodedMap = encoded.bytes;
    for (RelayBranch& branch : branchesByZone(names, loadRound_++)) {
        message.receivers = std::move(branch.rest);
        links_->send(nameOf(branch.head), encodeMessage(message, hybridClock_.tick()));
    }
    switch_.setLoadResendDelay(2 * loadTime(encoded.bytes.size()));
}

// Returns the time in which a message of this size reaches all members.
std::chrono::milliseconds GroupControl::loadTime(std::size_t bytes) const
{
    std::map<std::string, std::size_t> sizes;
    for (const auto& [name, member] : members_)
        ++sizes[member.availabilityZone];
    std::size_t largest = 0;
    for (const auto& [zone, size] : sizes)
        largest = std::max(largest, size);
    std::size_t levels = relayLevels(largest);
    return budget_.transmissionTime(bytes * (sizes.size() + levels * relayFanOut)) + relayTime * (levels + 1);
}

// One at a time: each order has the complete map, and one that waits behind others gets no response in time.
void GroupControl::sendRemoteLoads()
{
    if (remoteLoadTargets_.empty() || isRemoteLoadPending_)
        return;
    std::string name = *remoteLoadTargets_.begin();
    remoteLoadTargets_.erase(remoteLoadTargets_.begin());
    isRemoteLoadPending_ = true;
    sendRemoteOrder(name, members_[name], loadOrder_);
}

// Returns the size of an order to load a map that is sent to an engine over the network.
std::size_t GroupControl::remoteLoadBytes() const
{
    if (!loadOrder_.map)
        return 0;
    std::size_t experts = 0;
    for (const std::vector<std::vector<std::uint32_t>>& set : *loadOrder_.map) {
        for (const std::vector<std::uint32_t>& rank : set)
            experts += rank.size();
    }
    return experts * remoteLoadBytesPerExpert;
}

void GroupControl::sendRemoteOrder(const std::string& name, Member& member, const RankOrder& order)
{
    std::shared_ptr<bool> alive = alive_;
    std::chrono::milliseconds timeout = engineOrderTimeout;
    // The complete map is transmitted on two links, behind what is queued there.
    if (order.map)
        timeout += 3 * budget_.transmissionTime(remoteLoadBytes());
    remoteEngine(member).order(order, timeout, [this, alive, name, rank = member.rank, kind = order.kind, version = order.version, pass = order.pass](RankOrderResult result) {
        if (!*alive)
            return;
        resetAfterPause();
        if (kind == RankOrderKind::Prepare)
            isRemoteLoadPending_ = false;
        if (result == RankOrderResult::Fenced) {
            dependencies_.onLeadershipLost(term_);
            return;
        }
        switch_.handleOrderResult(rank, kind, version, pass, result);
        if (result == RankOrderResult::Accepted)
            links_->send(name, encodeMessage(RankStatusRequest { group_, term_, settings_.name, false }, hybridClock_.tick()));
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
    return links_->isOpen(name) && !isOverdue(member);
}

bool GroupControl::isOverdue(const Member& member) const
{
    return member.unansweredSince && clock_.now() - *member.unansweredSince >= settings_.agentTimeout;
}

// Returns whether few enough agents do not respond that the map reaches their engines over the network in time.
bool GroupControl::canLoadEverywhere() const
{
    auto unresponsive = static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [this](const auto& entry) { return entry.second.isRankKnown && !isResponsive(entry.first, entry.second); }));
    const ExpertLayout& layout = planner_->layout();
    std::size_t experts = static_cast<std::size_t>(layout.ranks) * layout.slotsPerRank * layout.sets;
    return budget_.transmissionTime(unresponsive * experts * remoteLoadBytesPerExpert) <= maxRemoteLoadTime;
}

RankEngine& GroupControl::remoteEngine(Member& member)
{
    if (!member.remote)
        member.remote = dependencies_.remoteEngine(member.engine);
    return *member.remote;
}

}
