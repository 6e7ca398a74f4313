#include "RankMaps/RankAgent.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

// How often it is checked whether a map is loaded: a few experts take some tens of milliseconds.
constexpr std::chrono::milliseconds loadCheckPeriod { 25 };
constexpr int maxLoadChecks = 20;

std::string_view kindName(RankOrderKind kind)
{
    switch (kind) {
    case RankOrderKind::Prepare:
        return "prepare";
    case RankOrderKind::Arm:
        return "arm";
    case RankOrderKind::Hold:
        return "hold";
    case RankOrderKind::Go:
        return "go";
    case RankOrderKind::Disarm:
        return "disarm";
    }
    return "";
}

std::string_view resultName(RankOrderResult result)
{
    switch (result) {
    case RankOrderResult::Accepted:
        return "accepted";
    case RankOrderResult::Refused:
        return "refused";
    case RankOrderResult::Fenced:
        return "fenced";
    case RankOrderResult::Unknown:
        return "unknown";
    case RankOrderResult::BaseMissing:
        return "baseMissing";
    }
    return "";
}

}

RankAgent::RankAgent(const Clock& clock, std::string name, Endpoint engineAddress, RankEngine& engine, RunLater runLater, DecisionLog& log)
    : clock_(clock)
    , name_(std::move(name))
    , engineAddress_(std::move(engineAddress))
    , engine_(engine)
    , runLater_(std::move(runLater))
    , log_(log)
    , controllerLastSeen_(clock.now())
    , startedAt_(clock.now())
{
}

bool RankAgent::isOtherGroup(const std::string& group) const
{
    return report_ && report_->group != group;
}

void RankAgent::receive(const RankStatusRequest& request, SendStatus respond)
{
    if (isOtherGroup(request.group)) {
        // The report shows the controller that this rank belongs to another group.
        RankStatus status = emptyStatus();
        status.report = report_;
        respond(status);
        return;
    }
    if (request.term < term_) {
        respond(emptyStatus());
        return;
    }
    recordTerm(request.term);
    if (!request.controller.empty())
        controller_ = request.controller;
    controllerLastSeen_ = clock_.now();
    readStatus(request.includeLists, std::move(respond));
}

void RankAgent::readStatus(bool includeLists, SendStatus respond)
{
    auto status = std::make_shared<RankStatus>(emptyStatus());
    engine_.report([this, includeLists, status, respond = std::move(respond)](std::optional<RankReport> report) {
        if (report) {
            addHighestArmOrderPass(*report);
            report_ = report;
        }
        status->report = std::move(report);
        if (!includeLists) {
            respond(*status);
            return;
        }
        engine_.lists([status, respond](std::optional<RankLists> lists) {
            status->lists = std::move(lists);
            respond(*status);
        });
    });
}

bool RankAgent::acceptController(const std::string& group, std::uint64_t term)
{
    if (isOtherGroup(group) || term < term_)
        return false;
    recordTerm(term);
    controllerLastSeen_ = clock_.now();
    return true;
}

// The status is sent without a request once the map is loaded, so that the controller need not ask each rank again.
void RankAgent::respondWhenLoaded(RankMapVersion version, int attempts, const SendStatus& respond)
{
    readStatus(false, [this, version, attempts, respond](const RankStatus& status) {
        bool isLoading = status.report && status.report->prepared != version && status.report->mapVersion != version;
        if (isLoading && attempts < maxLoadChecks)
            runLater_(loadCheckPeriod, [this, version, attempts, respond] { respondWhenLoaded(version, attempts + 1, respond); });
        else
            respond(status);
    });
}

void RankAgent::receive(RankOrderMessage message, SendResult respond, SendStatus respondWithStatus)
{
    RankOrderResultMessage result { term_, name_, message.order.kind, message.order.version, message.order.pass, RankOrderResult::Fenced };
    if (isOtherGroup(message.group))
        return;
    if (message.term < term_) {
        respond(result);
        return;
    }
    recordTerm(message.term);
    controllerLastSeen_ = clock_.now();
    if (!reconstructMap(message)) {
        result.term = term_;
        result.result = RankOrderResult::BaseMissing;
        respond(result);
        return;
    }
    if (message.order.kind == RankOrderKind::Arm) {
        highestArmOrderPass_ = message.order.epoch == armOrderEpoch_ ? std::max(highestArmOrderPass_, message.order.pass) : message.order.pass;
        armOrderEpoch_ = message.order.epoch;
    }
    engine_.order(message.order, engineOrderTimeout, [this, result, message, respond = std::move(respond), respondWithStatus = std::move(respondWithStatus)](RankOrderResult outcome) mutable {
        result.term = term_;
        result.result = outcome;
        LogLine line("rankOrder");
        line.add("kind", kindName(message.order.kind)).add("version", message.order.version).add("pass", message.order.pass).add("epoch", message.order.epoch);
        line.add("term", message.term).add("controller", message.controller).add("result", resultName(outcome));
        log_.write(line);
        if (outcome != RankOrderResult::Accepted)
            respond(result);
        if (outcome == RankOrderResult::Accepted && message.order.kind == RankOrderKind::Prepare)
            respondWhenLoaded(message.order.version, 0, respondWithStatus);
        else
            readStatus(false, respondWithStatus);
    });
}

void RankAgent::addHighestArmOrderPass(RankReport& report) const
{
    // For this time after the start, orders that an earlier incarnation of this agent passed on may still be executed, so
    // the highest pass is not known.
    constexpr std::chrono::seconds maxOrderDelay { 15 };
    if (clock_.now() - startedAt_ >= maxOrderDelay)
        report.highestArmOrderPass = report.epoch == armOrderEpoch_ ? highestArmOrderPass_ : 0;
}

// Completes the map of an order to load one. Returns false if it is encoded as differences to a map that this agent
// does not have.
bool RankAgent::reconstructMap(RankOrderMessage& message)
{
    constexpr std::size_t maxKeptMaps = 2;
    if (message.order.kind != RankOrderKind::Prepare)
        return true;
    std::shared_ptr<const GroupMap>& map = message.order.map;
    if (message.baseVersion) {
        auto base = maps_.find(*message.baseVersion);
        if (base == maps_.end())
            return false;
        std::vector<MapDifference> differences = decodeDifferences(message.encodedMap);
        std::optional<GroupMap> changed = applyDifferences(*base->second, differences);
        if (!changed)
            return false;
        map = differences.empty() ? base->second : std::make_shared<const GroupMap>(*std::move(changed));
    } else {
        map = std::make_shared<const GroupMap>(decodeMap(message.encodedMap));
    }
    message.encodedMap.clear();
    maps_[message.order.version] = map;
    while (maps_.size() > maxKeptMaps)
        maps_.erase(maps_.begin());
    return true;
}

void RankAgent::recordTerm(std::uint64_t term)
{
    term_ = std::max(term_, term);
}

RankStatus RankAgent::emptyStatus() const
{
    RankStatus status;
    status.term = term_;
    status.agent = name_;
    status.engine = engineAddress_;
    return status;
}

void RankAgent::collectCounts(std::function<void(const CountSum&)> done)
{
    engine_.counts([this, done = std::move(done)](std::optional<ExpertCounts> counts) { done(counts ? differenceToLastCounts(*counts) : CountSum()); });
}

// After a restart the engine counts from 0 again.
CountSum RankAgent::differenceToLastCounts(const ExpertCounts& counts)
{
    CountSum sum;
    bool hasPreviousCounts = lastCounts_.size() == counts.counts.size();
    bool hasRestarted = hasPreviousCounts
        && !std::equal(lastCounts_.begin(), lastCounts_.end(), counts.counts.begin(), [](double last, double now) { return last <= now; });
    if (hasRestarted)
        std::fill(lastCounts_.begin(), lastCounts_.end(), 0);
    if (hasPreviousCounts) {
        sum.ranks = 1;
        sum.counts.resize(counts.counts.size());
        for (std::size_t i = 0; i < sum.counts.size(); ++i)
            sum.counts[i] = counts.counts[i] - lastCounts_[i];
    }
    lastCounts_ = counts.counts;
    return sum;
}

}
