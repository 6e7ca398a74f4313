#include "RankMaps/GroupMember.h"

#include "Core/Error.h"
#include "RankMaps/RankAgentRows.h"
#include "RankMaps/RelayTree.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 100 };
constexpr std::chrono::milliseconds registrationRetryDelay { 800 };
// How often an agent that does not know its group and rank yet requests a report of the local engine.
constexpr std::chrono::milliseconds localReportPeriod { 500 };
constexpr std::chrono::milliseconds leaseRetryDelay { 1000 };
// Agents seldom start or stop, and at this rate it costs little that each agent reads all rows.
constexpr std::chrono::milliseconds agentScanPeriod { 30000 };
constexpr std::chrono::milliseconds agentScanRetryDelay { 2000 };
// Half of the longest delay before the rows are read after the table has lost writes.
constexpr std::chrono::milliseconds agentScanAfterLoss { 1000 };

}

GroupMember::GroupMember(TaskScheduler& scheduler, const Clock& clock, Random& random, RankAgentSettings settings, RankAgentPlatform platform, MakeProcessLinks makeLinks, DecisionLog& log)
    : scheduler_(scheduler)
    , clock_(clock)
    , random_(random)
    , settings_(std::move(settings))
    , platform_(std::move(platform))
    , makeLinks_(std::move(makeLinks))
    , log_(log)
    , incarnationName_(settings_.name + "#" + random.identifier().substr(0, 12))
    , hybridClock_(clock)
    , engine_(platform_.engine(settings_.engine))
    , delayedTasks_(scheduler)
    , agent_(
          clock, settings_.name, settings_.engine, *engine_, [this](std::chrono::milliseconds delay, std::function<void()> task) { delayedTasks_.run(delay, std::move(task)); }, log)
    , relayLinks_(clock, makeLinks_, [this](const Frame& frame) { receiveFromReceiver(frame); })
    , countCollection_(clock, [this](std::uint64_t round, const CountSum& sum) {
        if (std::shared_ptr<LinkSession> session = countsSession_.lock())
            session->send(encodeMessage(packCounts(round, sum), hybridClock_.tick()));
    })
    , suspicion_(clock, settings_.controllerAnswerTimeout)
    , leaseTriedAt_(clock.now())
    , reportRequestedAt_(clock.now() - localReportPeriod)
{
    timer_ = scheduler_.every(tickPeriod, [this] { tick(); });
}

GroupMember::~GroupMember() = default;

void GroupMember::registerAgent()
{
    RankAgentRow row { settings_.name, leaseGroup_, settings_.link, settings_.engine, settings_.availabilityZone };
    platform_.table.write({ makeRankAgentRowWrite(row) }, [this](const TableWriteResult& result) {
        if (result.status != ResultCode::Ok)
            registerTimer_ = scheduler_.after(registrationRetryDelay + std::chrono::milliseconds(random_.index(200)), [this] { registerAgent(); });
    });
}

// Keeps a list of the agents, because this agent may have to take control while the table is unavailable. Writes the row
// of this agent again if the table has lost it.
void GroupMember::readAgents()
{
    platform_.table.scan(rankAgentGroupPrefix(leaseGroup_), [this](const TableReadResult& result) {
        bool isRead = result.status == ResultCode::Ok;
        if (isRead) {
            knownAgents_ = parseRankAgentRows(result.rows);
            bool isRegistered = std::any_of(knownAgents_.begin(), knownAgents_.end(), [this](const RankAgentRow& agent) {
                return agent.name == settings_.name && agent.link == settings_.link && agent.engine == settings_.engine;
            });
            if (!isRegistered)
                registerAgent();
        }
        scheduleAgentScan(isRead ? agentScanPeriod : agentScanRetryDelay);
    });
}

// Random, so that the agents do not all read in the same moment.
void GroupMember::scheduleAgentScan(std::chrono::milliseconds delay)
{
    agentsTimer_ = scheduler_.after(delay + std::chrono::milliseconds(random_.index(static_cast<std::size_t>(delay.count()))), [this] { readAgents(); });
}

void GroupMember::handleStoreGeneration(StoreGeneration generation)
{
    if (generation <= storeGeneration_)
        return;
    StoreGeneration previous = std::exchange(storeGeneration_, generation);
    if (previous == 0)
        return;
    log_.write(LogLine("storeHistoryReplaced").add("generation", generation).add("group", leaseGroup_).add("term", agent_.term()));
    if (lease_)
        scheduleAgentScan(agentScanAfterLoss);
}

// Returns whether this agent controls its group under a term of a history that the table has lost.
bool GroupMember::isLeaseLost() const
{
    return control_ && control_->mayPlan() && ControllerLease::generationOf(control_->term()) < storeGeneration_;
}

void GroupMember::receive(const std::shared_ptr<LinkSession>& session, const Frame& frame)
{
    hybridClock_.observe(frame.time);
    try {
        if (frame.type == RankStatusRequest::type) {
            receiveStatusRequest(session, decodeRankStatusRequest(frame.body));
        } else if (frame.type == RankOrderMessage::type) {
            receiveOrder(session, decodeRankOrder(frame.body));
        } else if (frame.type == RankCountsRequest::type) {
            receiveCountsRequest(session, decodeRankCountsRequest(frame.body));
        } else if (frame.type == ControllerQuestion::type) {
            if (control_ && control_->mayPlan() && decodeControllerQuestion(frame.body).group == leaseGroup_)
                session->send(encodeMessage(ControllerAnswer { leaseGroup_, control_->term() }, hybridClock_.tick()));
        }
    } catch (const Error& error) {
        LOG(WARNING) << "rejected a frame from another agent: " << error.what();
    }
}

void GroupMember::receiveStatusRequest(const std::shared_ptr<LinkSession>& session, const RankStatusRequest& request)
{
    bool isForLocalGroup = !agent_.isOtherGroup(request.group);
    if (isForLocalGroup)
        observeTerm(request.term);
    if (control_ && isForLocalGroup && request.term >= control_->term() && request.controller != settings_.name)
        stopControl(request.term);
    if (isForLocalGroup && request.term >= controllerSessionTerm_) {
        controllerSessionTerm_ = request.term;
        controllerSession_ = session;
    }
    agent_.receive(request, [this, session](const RankStatus& status) { session->send(encodeMessage(status, hybridClock_.tick())); });
}

void GroupMember::receiveOrder(const std::shared_ptr<LinkSession>& session, RankOrderMessage message)
{
    std::shared_ptr<LinkSession> controller = controllerSessionTerm_ == message.term ? controllerSession_.lock() : nullptr;
    if (!controller)
        controller = session;
    bool isPassedOn = !agent_.isOtherGroup(message.group) && message.term >= agent_.term();
    std::vector<RelayBranch> branches = splitIntoBranches(std::exchange(message.receivers, {}));
    for (RelayBranch& branch : branches) {
        if (!isPassedOn)
            break;
        message.receivers = std::move(branch.rest);
        relayLinks_.send(branch.head, encodeMessage(message, hybridClock_.tick()));
    }
    agent_.receive(
        std::move(message), [this, controller](const RankOrderResultMessage& result) { controller->send(encodeMessage(result, hybridClock_.tick())); },
        [this, controller](const RankStatus& status) { controller->send(encodeMessage(status, hybridClock_.tick())); });
}

void GroupMember::receiveCountsRequest(const std::shared_ptr<LinkSession>& session, const RankCountsRequest& request)
{
    if (!agent_.acceptController(request.group, request.term))
        return;
    std::vector<RelayBranch> branches = splitIntoBranches(request.receivers);
    // The sums of the receivers need a part of the time to arrive here.
    std::chrono::milliseconds::rep hops = static_cast<std::chrono::milliseconds::rep>(relayLevels(request.receivers.size())) + 1;
    RankCountsRequest passedOn = request;
    passedOn.wait = request.wait * (hops - 1) / hops;
    for (RelayBranch& branch : branches) {
        passedOn.receivers = std::move(branch.rest);
        relayLinks_.send(branch.head, encodeMessage(passedOn, hybridClock_.tick()));
    }
    countsSession_ = session;
    countCollection_.begin(request.round, branches.size() + 1, request.wait);
    agent_.collectCounts([this, round = request.round](const CountSum& counts) { countCollection_.add(round, counts); });
}

// Handles a frame from an agent to which messages are passed on.
void GroupMember::receiveFromReceiver(const Frame& frame)
{
    hybridClock_.observe(frame.time);
    if (frame.type != RankCounts::type)
        return;
    try {
        RankCounts counts = decodeRankCounts(frame.body);
        countCollection_.add(counts.round, unpackCounts(counts));
    } catch (const Error& error) {
        LOG(WARNING) << "rejected counts from another agent: " << error.what();
    }
}

void GroupMember::observeTerm(std::uint64_t term)
{
    // Before the first response of the table, its generation is not known to have changed.
    if (storeGeneration_ > 0)
        handleStoreGeneration(ControllerLease::generationOf(term));
}

void GroupMember::tick()
{
    countCollection_.tick();
    relayLinks_.closeUnused();
    if (control_ && control_->mayPlan() && !isLeaseLost())
        return;
    takeOverIfControllerTimedOut();
}

std::optional<Endpoint> GroupMember::controllerLink() const
{
    auto found = std::find_if(knownAgents_.begin(), knownAgents_.end(), [this](const RankAgentRow& agent) { return agent.name == agent_.controller(); });
    if (found == knownAgents_.end() || found->name == settings_.name)
        return std::nullopt;
    return found->link;
}

void GroupMember::askController()
{
    log_.write(LogLine("controllerSuspected").add("group", leaseGroup_).add("controller", agent_.controller()).add("term", agent_.term()));
    controllerLink_ = makeLinks_({ [this](const std::string& name) { controllerLink_->send(name, encodeMessage(ControllerQuestion { leaseGroup_ }, hybridClock_.tick())); },
        [this](const std::string&, const Frame& frame) { receiveAnswer(frame); }, [](const std::string&) {} });
    controllerLink_->setTargets({ { agent_.controller(), *controllerLink() } });
}

void GroupMember::receiveAnswer(const Frame& frame)
{
    if (frame.type != ControllerAnswer::type)
        return;
    try {
        ControllerAnswer answer = decodeControllerAnswer(frame.body);
        agent_.acceptController(answer.group, answer.term);
    } catch (const Error& error) {
        LOG(WARNING) << "rejected an answer from a controller: " << error.what();
    }
}

void GroupMember::takeOverIfControllerTimedOut()
{
    TimePoint now = clock_.now();
    if (!agent_.report()) {
        // The group is not known before the first report of the local engine.
        if (now - reportRequestedAt_ >= localReportPeriod) {
            reportRequestedAt_ = now;
            engine_->report([this](std::optional<RankReport> report) {
                if (report)
                    agent_.recordReport(*report);
            });
        }
        return;
    }
    const RankReport& report = *agent_.report();
    if (!lease_ || leaseGroup_ != report.group) {
        leaseGroup_ = report.group;
        lease_ = std::make_unique<ControllerLease>(
            platform_.table, report.group, incarnationName_, [this](std::uint64_t term, const std::string& controller) { leaseChanged(term, controller); }, [this] { leaseFailed(); });
        // Reads the current term before it is needed for a takeover.
        lease_->read();
        registerAgent();
        agentsTimer_ = scheduler_.after(settings_.firstAgentScanDelay, [this] { readAgents(); });
        return;
    }
    // A controller that must not plan polls the local agent, so the timeout does not expire. It tries to acquire the lease
    // periodically.
    if (control_ ? now - leaseTriedAt_ < leaseRetryDelay : !isControllerLost(report.rank))
        return;
    leaseTriedAt_ = now;
    lease_->takeOver(agent_.term());
}

bool GroupMember::isControllerLost(std::uint32_t rank)
{
    Duration timeout = settings_.controllerTimeout + settings_.controllerTimeoutPerRank * rank;
    ControllerSuspicion::Step step = suspicion_.check(agent_.controllerLastSeen(), timeout, controllerLink().has_value());
    if (step == ControllerSuspicion::Step::Ask)
        askController();
    else if (step != ControllerSuspicion::Step::Wait)
        controllerLink_ = nullptr;
    return step == ControllerSuspicion::Step::TakeOver;
}

void GroupMember::leaseChanged(std::uint64_t term, const std::string& controller)
{
    agent_.recordTerm(term);
    if (controller.empty())
        return;
    if (controller == incarnationName_) {
        startControl(term, true);
        return;
    }
    // The previous controller was an earlier incarnation of this process, which no longer runs.
    bool isEarlierIncarnation = controller.substr(0, controller.find('#')) == settings_.name;
    if (isEarlierIncarnation && !control_) {
        lease_->takeOver(term);
        return;
    }
    // Restarts the timeout, so that the other controller has time to send its first status request.
    agent_.recordController();
    if (control_ && control_->term() < term)
        stopControl(term);
}

// Without the table no agent can acquire the lease, but a held group must not wait until it is available. A change in
// progress is completed under the current term.
void GroupMember::leaseFailed()
{
    if (!control_ && agent_.term() > 0 && agent_.report())
        startControl(agent_.term(), false);
}

void GroupMember::startControl(std::uint64_t term, bool mayPlan)
{
    GroupControlDependencies dependencies { platform_.table, platform_.catalog, platform_.engine, makeLinks_, [this](std::uint64_t newTerm) {
                                               scheduler_.post([this, newTerm] { stopControl(newTerm); });
                                           },
        knownAgents_, agent_.controller() == settings_.name ? std::string() : agent_.controller() };
    log_.write(LogLine("controlTaken").add("group", leaseGroup_).add("term", term).add("mayPlan", mayPlan));
    control_ = std::make_unique<GroupControl>(scheduler_, clock_, settings_, leaseGroup_, agent_.report()->rank, term, mayPlan, dependencies, log_);
}

void GroupMember::stopControl(std::uint64_t term)
{
    if (!control_)
        return;
    log_.write(LogLine("controlLost").add("group", leaseGroup_).add("term", control_->term()).add("newTerm", term));
    agent_.recordTerm(term);
    agent_.recordController();
    control_ = nullptr;
}

}
