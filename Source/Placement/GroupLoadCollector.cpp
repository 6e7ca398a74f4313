#include "Placement/GroupLoadCollector.h"

#include <algorithm>

namespace Damaskgrade {

GroupLoadCollector::GroupLoadCollector(std::vector<std::string> members)
    : memberOrder_(std::move(members))
{
    for (const std::string& member : memberOrder_)
        members_[member];
}

void GroupLoadCollector::observe(const std::string& member, const EngineExpertLoad& load)
{
    std::map<std::string, Member>::iterator found = members_.find(member);
    if (found == members_.end())
        return;
    Member& state = found->second;
    bool isFirst = state.lastReport.expertTokens.size() != load.expertTokens.size();
    if (isFirst)
        state.tokensSinceSample.assign(load.expertTokens.size(), 0);
    for (std::size_t expert = 0; !isFirst && expert < load.expertTokens.size(); ++expert) {
        std::uint64_t before = state.lastReport.expertTokens[expert];
        std::uint64_t after = load.expertTokens[expert];
        // A counter that has decreased belongs to a restarted engine, which counts from zero.
        state.tokensSinceSample[expert] += static_cast<double>(after >= before ? after - before : after);
    }
    state.lastReport = load;
    state.hasReported = true;
}

bool GroupLoadCollector::isComplete() const
{
    std::size_t experts = expertCount();
    return experts > 0 && std::all_of(members_.begin(), members_.end(), [experts](const std::pair<const std::string, Member>& entry) {
        return entry.second.hasReported && entry.second.lastReport.expertTokens.size() == experts;
    });
}

std::size_t GroupLoadCollector::rankCount() const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, Member>& entry : members_)
        count += entry.second.lastReport.rankTokenSeconds.size();
    return count;
}

std::size_t GroupLoadCollector::expertCount() const
{
    return members_.empty() ? 0 : members_.begin()->second.lastReport.expertTokens.size();
}

ExpertLoadSample GroupLoadCollector::takeSample(TimePoint now, const ExpertMap& map)
{
    ExpertLoadSample sample;
    sample.time = now;
    sample.map = map;
    sample.expertTokens.assign(expertCount(), 0);
    for (const std::string& name : memberOrder_) {
        Member& member = members_[name];
        for (std::size_t expert = 0; expert < member.tokensSinceSample.size(); ++expert)
            sample.expertTokens[expert] += member.tokensSinceSample[expert];
        sample.rankSeconds.insert(sample.rankSeconds.end(), member.lastReport.rankTokenSeconds.begin(), member.lastReport.rankTokenSeconds.end());
        member.tokensSinceSample.assign(member.tokensSinceSample.size(), 0);
        member.hasReported = false;
    }
    std::vector<double> loads = map.rankLoads(sample.expertTokens);
    for (std::size_t rank = 0; rank < loads.size(); ++rank)
        sample.rankSeconds[rank] *= loads[rank];
    return sample;
}

}
