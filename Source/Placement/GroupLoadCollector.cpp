#include "Placement/GroupLoadCollector.h"

#include <algorithm>

namespace Damaskgrade {

GroupLoadCollector::GroupLoadCollector(std::vector<std::string> members)
    : order_(std::move(members))
{
    for (const std::string& member : order_)
        members_[member];
}

void GroupLoadCollector::observe(const std::string& member, const EngineExpertLoad& load)
{
    std::map<std::string, Member>::iterator found = members_.find(member);
    if (found == members_.end())
        return;
    Member& state = found->second;
    bool isFirst = state.last.expertTokens.size() != load.expertTokens.size();
    if (isFirst)
        state.tokens.assign(load.expertTokens.size(), 0);
    for (std::size_t expert = 0; !isFirst && expert < load.expertTokens.size(); ++expert) {
        std::uint64_t before = state.last.expertTokens[expert];
        std::uint64_t after = load.expertTokens[expert];
        // A restarted engine counts from zero.
        state.tokens[expert] += static_cast<double>(after >= before ? after - before : after);
    }
    state.last = load;
    state.hasReported = true;
}

bool GroupLoadCollector::isComplete() const
{
    std::size_t experts = expertCount();
    return experts > 0 && std::all_of(members_.begin(), members_.end(), [experts](const std::pair<const std::string, Member>& entry) {
        return entry.second.hasReported && entry.second.last.expertTokens.size() == experts;
    });
}

std::size_t GroupLoadCollector::rankCount() const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, Member>& entry : members_)
        count += entry.second.last.rankTokenSeconds.size();
    return count;
}

std::size_t GroupLoadCollector::expertCount() const
{
    return members_.empty() ? 0 : members_.begin()->second.last.expertTokens.size();
}

ExpertLoadSample GroupLoadCollector::takeSample(TimePoint now, const ExpertMap& map)
{
    ExpertLoadSample sample;
    sample.time = now;
    sample.map = map;
    sample.expertTokens.assign(expertCount(), 0);
    for (const std::string& name : order_) {
        Member& member = members_[name];
        for (std::size_t expert = 0; expert < member.tokens.size(); ++expert)
            sample.expertTokens[expert] += member.tokens[expert];
        sample.rankSeconds.insert(sample.rankSeconds.end(), member.last.rankTokenSeconds.begin(), member.last.rankTokenSeconds.end());
        member.tokens.assign(member.tokens.size(), 0);
        member.hasReported = false;
    }
    std::vector<double> loads = map.rankLoads(sample.expertTokens);
    for (std::size_t rank = 0; rank < loads.size(); ++rank)
        sample.rankSeconds[rank] *= loads[rank];
    return sample;
}

}
