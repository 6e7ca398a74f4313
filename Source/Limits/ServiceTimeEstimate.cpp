#include "Limits/ServiceTimeEstimate.h"

#include <algorithm>
#include <cmath>

namespace Damaskgrade {

namespace {

// Weight of a new sample in the moving averages, which cover about the last 20 calls.
constexpr double sampleWeight = 0.05;

// Avoids a division by zero for calls with unknown work.
constexpr double minimumSize = 0.01;

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

}

ServiceTimeEstimate::ServiceTimeEstimate(Duration assumed)
    : mean_(std::chrono::duration<double>(assumed).count())
    , deviation_(0)
{
}

void ServiceTimeEstimate::observe(Duration serviceTime, double size)
{
    double sample = std::chrono::duration<double>(serviceTime).count() / std::max(size, minimumSize);
    if (!isObserved_) {
        isObserved_ = true;
        mean_ = sample;
        deviation_ = sample / 2;
        return;
    }
    deviation_ += sampleWeight * (std::abs(sample - mean_) - deviation_);
    mean_ += sampleWeight * (sample - mean_);
}

Duration ServiceTimeEstimate::mean(double size) const
{
    return seconds(mean_ * size);
}

Duration ServiceTimeEstimate::deviation(double size) const
{
    return seconds(deviation_ * size);
}

}
