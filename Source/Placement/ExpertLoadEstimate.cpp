#include "Placement/ExpertLoadEstimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Damaskgrade {

namespace {

double medianOf(std::vector<double> values)
{
    std::vector<double>::iterator middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

ExpertLoadEstimate::ExpertLoadEstimate(std::size_t rankCount, std::size_t expertCount, const ExpertLoadSettings& settings)
    : settings_(settings)
    , expertShares_(expertCount, 1.0 / static_cast<double>(expertCount))
    , slowness_(rankCount, 1)
{
}

void ExpertLoadEstimate::observe(const ExpertLoadSample& sample)
{
    double total = std::accumulate(sample.expertTokens.begin(), sample.expertTokens.end(), 0.0);
    bool isUsable = sample.expertTokens.size() == expertShares_.size() && sample.rankSeconds.size() == slowness_.size() && total > 0;
    if (!isUsable || (lastSampleTime_ && sample.time <= *lastSampleTime_))
        return;
    double weight = 1;
    if (lastSampleTime_) {
        double age = std::chrono::duration<double>(sample.time - *lastSampleTime_).count();
        weight = 1 - std::exp(-age / std::chrono::duration<double>(settings_.timeConstant).count());
    }
    lastSampleTime_ = sample.time;
    for (std::size_t expert = 0; expert < expertShares_.size(); ++expert)
        expertShares_[expert] += weight * (sample.expertTokens[expert] / total - expertShares_[expert]);

    std::vector<double> loads = sample.map.rankLoads(sample.expertTokens);
    std::vector<double> timePerToken(loads.size(), 0);
    for (std::size_t rank = 0; rank < loads.size(); ++rank)
        timePerToken[rank] = loads[rank] > 0 ? sample.rankSeconds[rank] / loads[rank] : 0;
    double median = medianOf(timePerToken);
    if (median <= 0)
        return;
    for (std::size_t rank = 0; rank < loads.size(); ++rank) {
        if (timePerToken[rank] > 0)
            slowness_[rank] += weight * (timePerToken[rank] / median - slowness_[rank]);
    }
}

std::vector<double> ExpertLoadEstimate::forecast() const
{
    return expertShares_;
}

std::vector<double> ExpertLoadEstimate::slowness() const
{
    // Small differences are noise in the samples. Acting on them would move experts without benefit.
    std::vector<double> result;
    for (double value : slowness_)
        result.push_back(value >= settings_.stragglerSlowness ? value : 1);
    return result;
}

}
