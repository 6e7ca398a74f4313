#include "Placement/ExpertMap.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace Damaskgrade {

ExpertMap::ExpertMap(std::uint64_t version, std::size_t rankCount, std::vector<std::vector<RankIndex>> replicas)
    : version_(version)
    , rankCount_(rankCount)
    , replicas_(std::move(replicas))
{
    for (std::size_t expert = 0; expert < replicas_.size(); ++expert) {
        std::vector<RankIndex>& ranks = replicas_[expert];
        std::sort(ranks.begin(), ranks.end());
        bool isDuplicate = std::adjacent_find(ranks.begin(), ranks.end()) != ranks.end();
        if (ranks.empty() || ranks.back() >= rankCount_ || isDuplicate)
            throw Error(ResultCode::DocumentInvalid, "expert " + std::to_string(expert) + " needs at least one replica, each on a different existing rank");
    }
}

ExpertMap ExpertMap::contiguous(std::size_t rankCount, std::size_t expertCount)
{
    std::vector<std::vector<RankIndex>> replicas;
    for (std::size_t expert = 0; expert < expertCount; ++expert)
        replicas.push_back({ static_cast<RankIndex>(expert * rankCount / expertCount) });
    return ExpertMap(1, rankCount, replicas);
}

bool ExpertMap::holds(RankIndex rank, ExpertIndex expert) const
{
    return std::binary_search(replicas_[expert].begin(), replicas_[expert].end(), rank);
}

std::size_t ExpertMap::maxExpertsPerRank() const
{
    std::vector<std::size_t> counts(rankCount_, 0);
    for (const std::vector<RankIndex>& ranks : replicas_) {
        for (RankIndex rank : ranks)
            ++counts[rank];
    }
    return counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
}

std::vector<double> ExpertMap::rankLoads(const std::vector<double>& expertLoads) const
{
    std::vector<double> loads(rankCount_, 0);
    for (std::size_t expert = 0; expert < replicas_.size(); ++expert) {
        for (RankIndex rank : replicas_[expert])
            loads[rank] += expertLoads[expert] / static_cast<double>(replicas_[expert].size());
    }
    return loads;
}

std::size_t replicasToLoad(const ExpertMap& from, const ExpertMap& to)
{
    std::size_t count = 0;
    for (ExpertIndex expert = 0; expert < to.expertCount(); ++expert) {
        const std::vector<RankIndex>& ranks = to.replicas(expert);
        count += std::count_if(ranks.begin(), ranks.end(), [&from, expert](RankIndex rank) { return !from.holds(rank, expert); });
    }
    return count;
}

std::uint64_t bytesToLoad(const ExpertMap& from, const ExpertMap& to, std::uint64_t bytesPerExpert)
{
    return replicasToLoad(from, to) * bytesPerExpert;
}

double skewOf(const std::vector<double>& rankTimes)
{
    double sum = std::accumulate(rankTimes.begin(), rankTimes.end(), 0.0);
    if (sum <= 0)
        return 1;
    return *std::max_element(rankTimes.begin(), rankTimes.end()) * static_cast<double>(rankTimes.size()) / sum;
}

std::string encodeExpertMap(const ExpertMap& map)
{
    nlohmann::json replicas = nlohmann::json::array();
    for (ExpertIndex expert = 0; expert < map.expertCount(); ++expert)
        replicas.push_back(map.replicas(expert));
    return nlohmann::json { { "version", map.version() }, { "ranks", map.rankCount() }, { "replicas", replicas } }.dump();
}

ExpertMap decodeExpertMap(std::string_view text)
{
    try {
        nlohmann::json json = nlohmann::json::parse(text);
        return ExpertMap(json.at("version").get<std::uint64_t>(), json.at("ranks").get<std::size_t>(),
            json.at("replicas").get<std::vector<std::vector<RankIndex>>>());
    } catch (const nlohmann::json::exception& failure) {
        throw Error(ResultCode::BadFrame, std::string("expert map can't be decoded: ") + failure.what());
    }
}

}
