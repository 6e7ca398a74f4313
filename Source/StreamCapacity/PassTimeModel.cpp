#include "StreamCapacity/PassTimeModel.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Damaskgrade {

namespace {

constexpr double thousand = 1000;
constexpr double million = 1e6;
// Sums whose weight is below this one no longer matter.
constexpr double minWeight = 0.01;

double toMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

// Returns the number of standard deviations that a normal variable exceeds with this probability.
double normalQuantile(double probability)
{
    constexpr int steps = 50;
    double low = 0;
    double high = 8;
    for (int step = 0; step < steps; ++step) {
        double middle = (low + high) / 2;
        (std::erfc(middle / std::sqrt(2.0)) / 2 > probability ? low : high) = middle;
    }
    return low;
}

}

PassTimeModel::PassTimeModel(const Clock& clock, const EngineModel& engine, PassTimeSettings settings)
    : clock_(clock)
    , settings_(settings)
    , slots_(std::max(1U, engine.slots))
    , fixedMilliseconds_(engine.stepsPerPass * engine.stepMilliseconds)
{
    passes_ = engine.usualAnswerTokens > 0 ? std::max(1.0, engine.usualAnswerTokens / engine.stepsPerPass) : settings_.assumedPauses;
    double prompt = engine.usualPromptTokens;
    double context = (prompt + engine.usualAnswerTokens / 2) / thousand;
    double reading = engine.promptTokensPerSecond > 0 ? thousand * prompt / engine.promptTokensPerSecond : 0;
    reading += engine.millisecondsPerMillionPairs * prompt * prompt / 2 / million;
    // All ranks wait for the one whose experts have the most work.
    double imbalance = 1 - engine.expertShare + engine.expertShare * settings_.assumedSkew;
    published_.cost = imbalance * (engine.stepsPerPass * (engine.requestMillisecondsPerStep + engine.contextMillisecondsPerStep * context) + reading / passes_);
    // Prompts arrive independently of each other, and each is read in one or two passes.
    published_.variance = imbalance * imbalance * reading * reading * slots_ / (2 * passes_);
    maxPauseMilliseconds_ = settings_.maxPauseRatio * (fixedMilliseconds_ + published_.cost * slots_);
    // All pauses of a stream must be within the target.
    deviations_ = normalQuantile(1 - std::pow(settings_.punctualShare, 1 / std::max(1.0, passes_ * settings_.independentShare)));
    service_.updatedAt = clock_.now();
}

void PassTimeModel::recordPause(std::string_view serverId, double requests, Duration pause)
{
    double milliseconds = toMilliseconds(pause);
    if (milliseconds > maxPauseMilliseconds_)
        return;
    // Events that were delayed on the way are followed by earlier ones.
    double time = std::max(0.0, milliseconds - fixedMilliseconds_);
    Estimate estimate = serviceEstimate();
    double error = time - estimate.offset - estimate.cost * requests;

    double factor = decay(service_.updatedAt);
    service_.updatedAt = clock_.now();
    service_.weight = factor * service_.weight + 1;
    service_.requests = factor * service_.requests + requests;
    service_.squaredRequests = factor * service_.squaredRequests + requests * requests;
    service_.time = factor * service_.time + time;
    service_.timeByRequests = factor * service_.timeByRequests + time * requests;
    service_.squaredError = factor * service_.squaredError + error * error;

    auto found = servers_.find(serverId);
    if (found == servers_.end())
        found = servers_.emplace(std::string(serverId), ServerSums { clock_.now() }).first;
    ServerSums& server = found->second;
    factor = decay(server.updatedAt);
    server.updatedAt = clock_.now();
    server.weight = factor * server.weight + 1;
    server.error = factor * server.error + error;
    server.squaredError = factor * server.squaredError + error * error;
}

double PassTimeModel::maxRequests(std::string_view serverId, Duration target) const
{
    Estimate estimate = serverEstimate(serverId);
    double allowed = toMilliseconds(target) - fixedMilliseconds_ - estimate.offset - deviations_ * std::sqrt(estimate.variance);
    return allowed / estimate.cost;
}

Duration PassTimeModel::expectedPass(std::string_view serverId, double requests) const
{
    Estimate estimate = serverEstimate(serverId);
    return fromMilliseconds(fixedMilliseconds_ + estimate.offset + estimate.cost * requests);
}

Duration PassTimeModel::usualResponseTime() const
{
    return fromMilliseconds(passes_ * (fixedMilliseconds_ + published_.cost * slots_ / 2));
}

void PassTimeModel::removeExpired()
{
    for (auto entry = servers_.begin(); entry != servers_.end();)
        entry = entry->second.weight * decay(entry->second.updatedAt) < minWeight ? servers_.erase(entry) : std::next(entry);
}

double PassTimeModel::decay(TimePoint since) const
{
    return std::exp(-std::chrono::duration<double>(clock_.now() - since) / (settings_.memoryResponses * std::chrono::duration<double>(usualResponseTime())));
}

// A linear regression in which the published figures count like pauses with half of the slots in use. The published cost has a
// high weight, because the number of requests is known with a delay, so that its variation seems to have too little effect.
PassTimeModel::Estimate PassTimeModel::serviceEstimate() const
{
    double factor = decay(service_.updatedAt);
    double weight = factor * service_.weight + settings_.publishedWeight;
    double requests = (factor * service_.requests + settings_.publishedWeight * slots_ / 2) / weight;
    double time = (factor * service_.time + settings_.publishedWeight * published_.cost * slots_ / 2) / weight;
    // Both relative to the means of the measured pauses.
    double spread = 0;
    double covariance = 0;
    if (service_.weight > 0) {
        spread = factor * (service_.squaredRequests - service_.requests * service_.requests / service_.weight);
        covariance = factor * (service_.timeByRequests - service_.requests * service_.time / service_.weight);
    }
    Estimate estimate;
    estimate.cost = std::max(published_.cost * settings_.minCostRatio, (covariance + settings_.costWeight * published_.cost) / (spread + settings_.costWeight));
    estimate.offset = time - estimate.cost * requests;
    estimate.variance = (factor * service_.squaredError + settings_.publishedWeight * published_.variance) / weight;
    return estimate;
}

PassTimeModel::Estimate PassTimeModel::serverEstimate(std::string_view serverId) const
{
    Estimate estimate = serviceEstimate();
    auto found = servers_.find(serverId);
    if (found == servers_.end())
        return estimate;
    double factor = decay(found->second.updatedAt);
    double weight = factor * found->second.weight + settings_.serviceWeight;
    double offset = factor * found->second.error / weight;
    estimate.offset += offset;
    estimate.variance = std::max(0.0, (factor * found->second.squaredError + settings_.serviceWeight * estimate.variance) / weight - offset * offset);
    return estimate;
}

}
