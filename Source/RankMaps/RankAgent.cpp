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
    , heardAt_(clock.now())
    , startedAt_(clock.now())
{
}

bool RankAgent::isOfOtherGroup(const std::string& group) const
{
    return report_ && report_->group != group;
}

void RankAgent::receive(const RankQuestion& question, SendStatus reply)
{
    if (isOfOtherGroup(question.group)) {
        // The controller learns from the report that this rank is not one of its own.
        RankStatus status = emptyStatus();
        status.report = report_;
        reply(status);
        return;
    }
    if (question.term < term_) {
        reply(emptyStatus());
        return;
    }
    noteTerm(question.term);
    if (!question.controller.empty())
        controller_ = question.controller;
    heardAt_ = clock_.now();
    auto status = std::make_shared<RankStatus>(emptyStatus());
    engine_.report([this, question, status, reply = std::move(reply)](std::optional<RankReport> report) {
        if (report) {
            completeReport(*report);
            report_ = report;
        }
        status->report = std::move(report);
        answer(question, status, reply);
    });
}

void RankAgent::receive(RankOrderMessage message, SendResult reply, SendStatus replyStatus)
{
    RankOrderResultMessage result { term_, name_, message.order.kind, message.order.version, message.order.pass, RankOrderResult::Fenced };
    if (isOfOtherGroup(message.group))
        return;
    if (message.term < term_) {
        reply(result);
        return;
    }
    noteTerm(message.term);
    heardAt_ = clock_.now();
    if (!completeMap(message)) {
        result.term = term_;
        result.result = RankOrderResult::BaseMissing;
        reply(result);
        return;
    }
    if (message.order.kind == RankOrderKind::Arm) {
        armsOrderedTo_ = message.order.epoch == armEpoch_ ? std::max(armsOrderedTo_, message.order.pass) : message.order.pass;
        armEpoch_ = message.order.epoch;
    }
    engine_.order(message.order, [this, result, message, reply = std::move(reply), replyStatus = std::move(replyStatus)](RankOrderResult outcome) mutable {
        result.term = term_;
        result.result = outcome;
        LogLine line("rankOrder");
        line.add("kind", kindName(message.order.kind)).add("version", message.order.version).add("pass", message.order.pass).add("epoch", message.order.epoch);
        line.add("term", message.term).add("controller", message.controller).add("result", resultName(outcome));
        log_.write(line);
        if (outcome != RankOrderResult::Accepted)
            reply(result);
        RankQuestion question;
        question.group = message.group;
        question.term = message.term;
        receive(question, replyStatus);
    });
}

void RankAgent::completeReport(RankReport& report) const
{
    // Orders of an earlier start of this agent may still be carried out until then.
    constexpr std::chrono::seconds latestOrder { 15 };
    if (clock_.now() - startedAt_ >= latestOrder)
        report.armsOrderedTo = report.epoch == armEpoch_ ? armsOrderedTo_ : 0;
}

// Returns false if the map is described by its differences to one that this agent does not know.
bool RankAgent::completeMap(RankOrderMessage& message)
{
    constexpr std::size_t keptMaps = 2;
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
    while (maps_.size() > keptMaps)
        maps_.erase(maps_.begin());
    return true;
}

void RankAgent::noteTerm(std::uint64_t term)
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

void RankAgent::answer(const RankQuestion& question, std::shared_ptr<RankStatus> status, SendStatus reply)
{
    if (question.wantsLists) {
        RankQuestion rest = question;
        rest.wantsLists = false;
        engine_.lists([this, rest, status, reply](std::optional<RankLists> lists) {
            status->lists = std::move(lists);
            answer(rest, status, reply);
        });
        return;
    }
    if (question.wantsCounts) {
        engine_.counts([this, status, reply](std::optional<ExpertCounts> counts) {
            if (counts)
                takeCounts(*counts, *status);
            reply(*status);
        });
        return;
    }
    reply(*status);
}

// Counts are reported as the difference to the last report. After a restart of the engine they begin anew.
void RankAgent::takeCounts(const ExpertCounts& counts, RankStatus& status)
{
    bool isKnown = lastCounts_.size() == counts.counts.size();
    bool hasRestarted = isKnown
        && !std::equal(lastCounts_.begin(), lastCounts_.end(), counts.counts.begin(), [](double last, double now) { return last <= now; });
    if (hasRestarted)
        std::fill(lastCounts_.begin(), lastCounts_.end(), 0);
    if (isKnown) {
        std::vector<double> differences(counts.counts.size());
        for (std::size_t i = 0; i < differences.size(); ++i)
            differences[i] = counts.counts[i] - lastCounts_[i];
        packCounts(differences, status);
    }
    lastCounts_ = counts.counts;
}

}
