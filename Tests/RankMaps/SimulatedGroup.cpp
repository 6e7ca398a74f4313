#include "SimulatedGroup.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Damaskgrade {

namespace {

// A pass takes this time with evenly loaded ranks, and grows with the load of the most loaded rank.
constexpr std::chrono::milliseconds evenPassTime { 50 };
constexpr double selectionsPerSecond = 400;
constexpr std::chrono::milliseconds copyTimePerExpert { 3 };
constexpr std::chrono::milliseconds holdCheckPeriod { 1 };

// The group starts with the experts assigned to the ranks in turn.
GroupMap startingMap(const SimulatedGroup::Layout& layout)
{
    GroupMap map(layout.sets, std::vector<std::vector<std::uint32_t>>(layout.ranks));
    for (std::vector<std::vector<std::uint32_t>>& set : map) {
        for (std::uint32_t expert = 0; expert < layout.expertsPerSet; ++expert)
            set[expert % layout.ranks].push_back(expert);
    }
    return map;
}

}

SimulatedGroup::SimulatedGroup(const ManualClock& clock, const Layout& layout, Random& random)
    : clock_(clock)
    , layout_(layout)
    , random_(random)
    , ranks_(layout.ranks)
    , demand_(static_cast<std::size_t>(layout.sets) * layout.expertsPerSet, 0)
    , selections_(demand_.size(), 0)
    , accumulatedAt_(clock.now())
    , passBegunAt_(clock.now())
{
    auto map = std::make_shared<const GroupMap>(startingMap(layout));
    for (Rank& rank : ranks_)
        rank.map = { 0, map };
    shiftDemand();
}

void SimulatedGroup::shiftDemand()
{
    accumulateCounts();
    constexpr double spread = 0.7;
    for (double& demand : demand_) {
        // The sum of uniform numbers approximates a normal distribution.
        double normal = 0;
        for (int i = 0; i < 12; ++i)
            normal += random_.fraction();
        demand = selectionsPerSecond * std::exp(spread * (normal - 6));
    }
    updateSkew();
}

void SimulatedGroup::accumulateCounts()
{
    double elapsed = std::chrono::duration<double>(clock_.now() - accumulatedAt_).count();
    accumulatedAt_ = clock_.now();
    for (std::size_t i = 0; i < demand_.size(); ++i)
        selections_[i] += demand_[i] * elapsed;
}

void SimulatedGroup::updateSkew()
{
    skew_ = 0;
    const GroupMap& map = *ranks_.front().map.experts;
    for (std::uint32_t set = 0; set < layout_.sets; ++set) {
        std::vector<double> replicas(layout_.expertsPerSet, 0);
        for (const std::vector<std::uint32_t>& experts : map[set]) {
            for (std::uint32_t expert : experts)
                ++replicas[expert];
        }
        double most = 0;
        double sum = 0;
        for (const std::vector<std::uint32_t>& experts : map[set]) {
            double load = 0;
            for (std::uint32_t expert : experts)
                load += demand_[static_cast<std::size_t>(set) * layout_.expertsPerSet + expert] / replicas[expert];
            most = std::max(most, load);
            sum += load;
        }
        skew_ += most * layout_.ranks / sum / layout_.sets;
    }
}

Duration SimulatedGroup::beginPass()
{
    std::uint64_t next = pass_ + 1;
    bool isHeld = std::any_of(ranks_.begin(), ranks_.end(), [next](const Rank& rank) { return rank.held == next; });
    TimePoint now = clock_.now();
    if (isHeld) {
        longestHold_ = std::max(longestHold_, now - passBegunAt_);
        return holdCheckPeriod;
    }
    pass_ = next;
    passBegunAt_ = now;
    bool isSwitched = false;
    for (Rank& rank : ranks_) {
        if (!rank.armed || rank.armed->pass != pass_)
            continue;
        rank.map = *rank.prepared;
        rank.armed.reset();
        isSwitched = true;
    }
    bool isMixed = std::any_of(ranks_.begin(), ranks_.end(), [this](const Rank& rank) {
        return rank.map.version != ranks_.front().map.version || *rank.map.experts != *ranks_.front().map.experts;
    });
    if (isSwitched) {
        mixedPasses_ += isMixed ? 1 : 0;
        if (changeStartedAt_)
            lastChangeTime_ = now - *changeStartedAt_;
        changeStartedAt_.reset();
        ++completedChanges_;
        updateSkew();
    }
    auto passTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(evenPassTime) * skew_);
    passBegunAt_ += passTime;
    return passTime;
}

bool SimulatedGroup::isPrepared(const Rank& rank) const
{
    return rank.prepared && rank.preparedAt <= clock_.now();
}

RankReport SimulatedGroup::report(std::uint32_t number) const
{
    const Rank& rank = ranks_[number];
    RankReport report;
    report.group = "group-1";
    report.rank = number;
    report.groupSize = layout_.ranks;
    report.epoch = 1;
    report.isOpen = true;
    report.pass = pass_;
    report.mapVersion = rank.map.version;
    if (isPrepared(rank))
        report.prepared = rank.prepared->version;
    report.armed = rank.armed;
    report.heldPass = rank.held;
    report.running = 6;
    return report;
}

ExpertCounts SimulatedGroup::counts(std::uint32_t)
{
    accumulateCounts();
    return { 1, selections_ };
}

RankLists SimulatedGroup::lists(std::uint32_t number) const
{
    RankLists lists;
    lists.version = ranks_[number].map.version;
    for (const std::vector<std::vector<std::uint32_t>>& set : *ranks_[number].map.experts)
        lists.experts.push_back(set[number]);
    return lists;
}

RankOrderResult SimulatedGroup::prepare(Rank& rank, std::uint32_t number, const RankOrder& order)
{
    if (order.version <= rank.highest || rank.armed)
        return RankOrderResult::Refused;
    std::size_t most = 0;
    std::size_t copied = 0;
    for (std::uint32_t set = 0; set < layout_.sets; ++set) {
        const std::vector<std::uint32_t>& before = (*rank.map.experts)[set][number];
        const std::vector<std::uint32_t>& after = (*order.map)[set][number];
        auto isNew = [&before](std::uint32_t expert) { return std::find(before.begin(), before.end(), expert) == before.end(); };
        auto count = static_cast<std::size_t>(std::count_if(after.begin(), after.end(), isNew));
        most = std::max(most, count);
        copied += count;
        if (after.size() > layout_.slotsPerRank)
            return RankOrderResult::Refused;
    }
    if (most > layout_.spareSlots)
        return RankOrderResult::Refused;
    rank.highest = order.version;
    rank.prepared = Map { order.version, order.map };
    rank.preparedAt = clock_.now() + copyTimePerExpert * copied;
    if (order.version != startedVersion_) {
        startedVersion_ = order.version;
        changeStartedAt_ = clock_.now();
    }
    return RankOrderResult::Accepted;
}

RankOrderResult SimulatedGroup::execute(std::uint32_t number, const RankOrder& order)
{
    Rank& rank = ranks_[number];
    if (order.epoch != 1)
        return RankOrderResult::Refused;
    if (order.fencingToken < rank.token)
        return RankOrderResult::Fenced;
    rank.token = order.fencingToken;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        return prepare(rank, number, order);
    case RankOrderKind::Arm:
        if (!isPrepared(rank) || rank.prepared->version != order.version || order.pass <= pass_)
            return RankOrderResult::Refused;
        rank.armed = ArmedMap { order.version, order.pass };
        return RankOrderResult::Accepted;
    case RankOrderKind::Hold:
        if (order.pass <= pass_ || (rank.held && *rank.held > pass_ && *rank.held != order.pass))
            return RankOrderResult::Refused;
        rank.held = order.pass;
        return RankOrderResult::Accepted;
    case RankOrderKind::Go:
        if (rank.held != order.pass)
            return RankOrderResult::Refused;
        rank.held.reset();
        return RankOrderResult::Accepted;
    case RankOrderKind::Disarm:
        if (rank.map.version == order.version)
            return RankOrderResult::Refused;
        if (rank.armed && rank.armed->version == order.version)
            rank.armed.reset();
        return RankOrderResult::Accepted;
    }
    return RankOrderResult::Refused;
}

}
