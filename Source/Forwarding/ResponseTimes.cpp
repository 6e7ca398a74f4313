#include "Forwarding/ResponseTimes.h"

#include <cmath>

namespace Damaskgrade {

ResponseTimes::ResponseTimes(ResponseTimesSettings settings)
    : settings_(settings)
{
}

void ResponseTimes::record(std::string_view service, Duration time)
{
    double seconds = std::chrono::duration<double>(time).count();
    auto found = estimates_.find(service);
    if (found == estimates_.end())
        found = estimates_.emplace(std::string(service), Estimate { std::chrono::duration<double>(settings_.initial).count(), 0 }).first;
    Estimate& estimate = found->second;
    double difference = seconds - estimate.mean;
    estimate.mean += settings_.sampleWeight * difference;
    estimate.deviation += settings_.sampleWeight * (std::abs(difference) - estimate.deviation);
}

Duration ResponseTimes::expected(std::string_view service) const
{
    auto found = estimates_.find(service);
    if (found == estimates_.end())
        return settings_.initial;
    double seconds = found->second.mean + settings_.deviationFactor * found->second.deviation;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
