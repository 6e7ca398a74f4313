#include "RankMaps/RankReport.h"

namespace Damaskgrade {

std::vector<MapDifference> differences(const GroupMap& base, const GroupMap& map)
{
    std::vector<MapDifference> result;
    for (std::uint32_t set = 0; set < map.size(); ++set) {
        for (std::uint32_t rank = 0; rank < map[set].size(); ++rank) {
            if (map[set][rank] != base[set][rank])
                result.push_back({ set, rank, map[set][rank] });
        }
    }
    return result;
}

std::optional<GroupMap> applyDifferences(const GroupMap& base, const std::vector<MapDifference>& differences)
{
    GroupMap map = base;
    for (const MapDifference& difference : differences) {
        if (difference.set >= map.size() || difference.rank >= map[difference.set].size())
            return std::nullopt;
        map[difference.set][difference.rank] = difference.experts;
    }
    return map;
}

}
