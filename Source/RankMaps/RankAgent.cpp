#include "RankMaps/RankAgent.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

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

RankAgent::RankAgent(const Clock& clock, std::string name, Endpoint engineAddress, RankEngine& engine, DecisionLog& log)
    : clock_(clock)
    , name_(std::move(name))
    , engineAddress_(std::move(engineAddress))
    , engine_(engine)
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
    auto status = std::make_shared<RankStatus>(emptyStatus());
    engine_.report([this, request, status, respond = std::move(respond)](std::optional<RankReport> report) {
        if (report) {
            addHighestArmOrderPass(*report);
            report_ = report;
        }
        status->report = std::move(report);
        completeStatus(request, status, respond);
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
    engine_.order(message.order, [this, result, message, respond = std::move(respond), respondWithStatus = std::move(respondWithStatus)](RankOrderResult outcome) mutable {
        result.term = term_;
        result.result = outcome;
        LogLine line("rankOrder");
        line.add("kind", kindName(message.order.kind)).add("version", message.order.version).add("pass", message.order.pass).add("epoch", message.order.epoch);
        line.add("term", message.term).add("controller", message.controller).add("result", resultName(outcome));
        log_.write(line);
        if (outcome != RankOrderResult::Accepted)
            respond(result);
        RankStatusRequest request;
        request.group = message.group;
        request.term = message.term;
        receive(request, respondWithStatus);
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
    if (message.baseVersion) {
        auto base = maps_.find(*message.baseVersion);
        if (base == maps_.end())
            return false;
        std::optional<GroupMap> map = applyDifferences(*base->second, message.differences);
        if (!map)
            return false;
        message.order.map = message.differences.empty() ? base->second : std::make_shared<const GroupMap>(*std::move(map));
    }
    maps_[message.order.version] = message.order.map;
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

void RankAgent::completeStatus(const RankStatusRequest& request, std::shared_ptr<RankStatus> status, SendStatus respond)
{
    if (request.includeLists) {
        RankStatusRequest remaining = request;
        remaining.includeLists = false;
        engine_.lists([this, remaining, status, respond](std::optional<RankLists> lists) {
            status->lists = std::move(lists);
            completeStatus(remaining, status, respond);
        });
        return;
    }
    if (request.includeCounts) {
        engine_.counts([this, status, respond](std::optional<ExpertCounts> counts) {
            if (counts)
                addCounts(*counts, *status);
            respond(*status);
        });
        return;
    }
    respond(*status);
}

// Counts are reported as the difference to the last report. After a restart the engine counts from 0 again.
void RankAgent::addCounts(const ExpertCounts& counts, RankStatus& status)
{
    bool hasPreviousCounts = lastCounts_.size() == counts.counts.size();
    bool hasRestarted = hasPreviousCounts
        && !std::equal(lastCounts_.begin(), lastCounts_.end(), counts.counts.begin(), [](double last, double now) { return last <= now; });
    if (hasRestarted)
        std::fill(lastCounts_.begin(), lastCounts_.end(), 0);
    if (hasPreviousCounts) {
        std::vector<double> differences(counts.counts.size());
        for (std::size_t i = 0; i < differences.size(); ++i)
            differences[i] = counts.counts[i] - lastCounts_[i];
        packCounts(differences, status);
    }
    lastCounts_ = counts.counts;
}

}
