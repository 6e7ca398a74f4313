#include "RankMaps/GroupMember.h"

#include "Core/Error.h"
#include "RankMaps/RankAgentRows.h"

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
    , agent_(clock, settings_.name, settings_.engine, *engine_, log)
    , leaseTriedAt_(clock.now())
    , reportRequestedAt_(clock.now() - localReportPeriod)
{
    timer_ = scheduler_.every(tickPeriod, [this] { tick(); });
}

GroupMember::~GroupMember() = default;

void GroupMember::registerAgent()
{
    RankAgentRow row { settings_.name, leaseGroup_, settings_.link, settings_.engine };
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
    auto observeTerm = [this](std::uint64_t term) {
        // Before the first response of the table, its generation is not known to have changed.
        if (storeGeneration_ > 0)
            handleStoreGeneration(ControllerLease::generationOf(term));
    };
    auto sendStatus = [this, session](const RankStatus& status) { session->send(encodeMessage(status, hybridClock_.tick())); };
    try {
        if (frame.type == RankStatusRequest::type) {
            RankStatusRequest request = decodeRankStatusRequest(frame.body);
            bool isForLocalGroup = !agent_.isOtherGroup(request.group);
            if (isForLocalGroup)
                observeTerm(request.term);
            if (control_ && isForLocalGroup && request.term >= control_->term() && request.controller != settings_.name)
                stopControl(request.term);
            agent_.receive(request, sendStatus);
        } else if (frame.type == RankOrderMessage::type) {
            agent_.receive(
                decodeRankOrder(frame.body), [this, session](const RankOrderResultMessage& result) { session->send(encodeMessage(result, hybridClock_.tick())); }, sendStatus);
        }
    } catch (const Error& error) {
        LOG(WARNING) << "rejected a frame from a controller: " << error.what();
    }
}

void GroupMember::tick()
{
    if (control_ && control_->mayPlan() && !isLeaseLost())
        return;
    takeOverIfControllerTimedOut();
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
    bool isControllerTimedOut = now - agent_.controllerLastSeen() >= settings_.controllerTimeout + settings_.controllerTimeoutPerRank * report.rank;
    // A controller that must not plan polls the local agent, so the timeout does not expire. It tries to acquire the lease
    // periodically.
    bool isRetryDue = control_ && now - leaseTriedAt_ >= leaseRetryDelay;
    if (control_ ? !isRetryDue : !isControllerTimedOut)
        return;
    leaseTriedAt_ = now;
    lease_->takeOver(agent_.term());
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
