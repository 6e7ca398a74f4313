#include "Calls/HedgePolicy.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t windowSize = 256;
// With fewer samples, the 95th percentile is nearly their maximum.
constexpr std::size_t minimumSamples = 40;
constexpr double percentile = 0.95;

}

void HedgePolicy::observe(Duration duration)
{
    if (window_.size() < windowSize) {
        window_.push_back(duration);
        return;
    }
    window_[next_] = duration;
    next_ = (next_ + 1) % windowSize;
}

std::optional<Duration> HedgePolicy::delay() const
{
    if (window_.size() < minimumSamples)
        return std::nullopt;
    std::vector<Duration> sorted = window_;
    std::ptrdiff_t rank = static_cast<std::ptrdiff_t>(percentile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
    return sorted[static_cast<std::size_t>(rank)];
}

}
