#include "Placement/PlacementBaselines.h"

#include "Placement/MapSearch.h"

#include <algorithm>
#include <numeric>

namespace Damaskgrade {

namespace {

constexpr std::size_t maxChanges = 1000;

}

ExpertMap improveGreedily(const ExpertMap& current, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank)
{
    MapSearch search(current, expertLoads, slowness, slotsPerRank);
    for (std::size_t change = 0; change < maxChanges; ++change) {
        if (search.improve() == 0)
            break;
    }
    return search.map(current.version() + 1);
}

ExpertMap packFromScratch(std::uint64_t version, std::size_t rankCount, const std::vector<double>& expertLoads, const std::vector<double>& slowness, std::size_t slotsPerRank)
{
    std::size_t expertCount = expertLoads.size();
    std::vector<std::size_t> counts(expertCount, 1);
    for (std::size_t slot = expertCount; slot < rankCount * slotsPerRank; ++slot) {
        std::size_t mostLoaded = expertCount;
        for (std::size_t expert = 0; expert < expertCount; ++expert) {
            if (counts[expert] < rankCount && (mostLoaded == expertCount || expertLoads[expert] / static_cast<double>(counts[expert]) > expertLoads[mostLoaded] / static_cast<double>(counts[mostLoaded])))
                mostLoaded = expert;
        }
        if (mostLoaded == expertCount)
            break;
        ++counts[mostLoaded];
    }
    std::vector<ExpertIndex> sortedExperts(expertCount);
    std::iota(sortedExperts.begin(), sortedExperts.end(), 0);
    std::sort(sortedExperts.begin(), sortedExperts.end(), [&expertLoads, &counts](ExpertIndex left, ExpertIndex right) {
        return expertLoads[left] / static_cast<double>(counts[left]) > expertLoads[right] / static_cast<double>(counts[right]);
    });
    std::vector<std::vector<RankIndex>> replicas(expertCount);
    std::vector<double> times(rankCount, 0);
    std::vector<std::size_t> usedSlots(rankCount, 0);
    for (ExpertIndex expert : sortedExperts) {
        double share = expertLoads[expert] / static_cast<double>(counts[expert]);
        for (std::size_t replica = 0; replica < counts[expert]; ++replica) {
            std::size_t best = rankCount;
            for (std::size_t rank = 0; rank < rankCount; ++rank) {
                bool holdsReplica = std::find(replicas[expert].begin(), replicas[expert].end(), rank) != replicas[expert].end();
                if (usedSlots[rank] < slotsPerRank && !holdsReplica && (best == rankCount || times[rank] + share * slowness[rank] < times[best] + share * slowness[best]))
                    best = rank;
            }
            // For the last replicas, each rank with a free slot may already hold the expert. The first
            // replica always fits, because no rank holds the expert yet.
            if (best == rankCount)
                break;
            replicas[expert].push_back(static_cast<RankIndex>(best));
            times[best] += share * slowness[best];
            ++usedSlots[best];
        }
    }
    return ExpertMap(version, rankCount, replicas);
}

}
