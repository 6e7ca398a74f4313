#include "Core/Random.h"
#include "Placement/MapSearch.h"
#include "Placement/PlacementBaselines.h"
#include "Placement/PlacementPolicy.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <numeric>
#include <string>

using namespace Damaskgrade;

namespace {

constexpr double intervalSeconds = 10;
constexpr int intervalCount = 720;
constexpr int intervalsPerDecision = 3;
// Load samples arrive this many intervals after the load that they describe.
constexpr int reportLag = 2;
// Maximum relative error of a reported value.
constexpr double reportNoise = 0.1;

struct Scale {
    std::size_t ranks;
    std::size_t experts;
    std::size_t slots;
};

enum class Pattern {
    Slow,
    Sudden,
    Oscillating,
    Straggler,
};

const char* patternName(Pattern pattern)
{
    static const char* const names[] = { "slow", "sudden", "oscillating", "straggler" };
    return names[static_cast<int>(pattern)];
}

using Loads = std::vector<double>;

// The actual load of the experts and slowness of the ranks in each interval. A slowness of 1.5 means that a rank takes
// 1.5 times as long.
struct Trace {
    std::vector<Loads> loads;
    std::vector<Loads> slowness;
};

// Returns the shares of the experts in the load of one topic. They follow an approximately log-normal distribution, in
// which the most loaded expert has several times the mean.
Loads makeTopic(std::size_t experts, Random& random)
{
    Loads loads;
    for (std::size_t expert = 0; expert < experts; ++expert) {
        double sum = 0;
        for (int term = 0; term < 12; ++term)
            sum += random.fraction();
        loads.push_back(std::exp(0.7 * (sum - 6)));
    }
    double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    for (double& load : loads)
        load /= total;
    return loads;
}

Loads interpolate(const Loads& from, const Loads& to, double share)
{
    Loads result(from.size(), 0);
    for (std::size_t expert = 0; expert < from.size(); ++expert)
        result[expert] = (1 - share) * from[expert] + share * to[expert];
    return result;
}

Trace makeTrace(const Scale& scale, Pattern pattern, std::uint64_t seed)
{
    Random random(seed);
    std::vector<Loads> topics;
    topics.reserve(5);
    for (int topic = 0; topic < 5; ++topic)
        topics.push_back(makeTopic(scale.experts, random));
    Trace trace;
    constexpr int quarter = intervalCount / 4;
    for (int interval = 0; interval < intervalCount; ++interval) {
        int topic = interval / quarter;
        double position = static_cast<double>(interval % quarter) / quarter;
        // One period takes ten minutes.
        double oscillation = 0.5 - 0.5 * std::cos(2 * M_PI * interval * intervalSeconds / 600);
        if (pattern == Pattern::Sudden)
            trace.loads.push_back(topics[topic]);
        else if (pattern == Pattern::Oscillating)
            trace.loads.push_back(interpolate(topics[0], topics[1], oscillation));
        else
            trace.loads.push_back(interpolate(topics[topic], topics[topic + 1], position));
        Loads slowness(scale.ranks, 1);
        if (pattern == Pattern::Straggler && interval >= quarter && interval < 3 * quarter)
            slowness[scale.ranks / 2] = 1.5;
        trace.slowness.push_back(slowness);
    }
    return trace;
}

Loads rankTimes(const ExpertMap& map, const Loads& loads, const Loads& slowness)
{
    Loads times = map.rankLoads(loads);
    for (std::size_t rank = 0; rank < times.size(); ++rank)
        times[rank] *= slowness[rank];
    return times;
}

struct Result {
    std::string policy;
    double meanSkew { 0 };
    double p99Skew { 0 };
    std::uint64_t bytes { 0 };
    int switches { 0 };
    double lostSeconds { 0 };
    double meanDecisionMs { 0 };
    double worstDecisionMs { 0 };
};

// Returns the new map, or nothing to keep the current one. Only the oracles use the interval, to look up the actual load.
using DecisionFunction = std::function<std::optional<ExpertMap>(int interval, TimePoint now, const ExpertMap& current, const ExpertLoadEstimate& estimate)>;

Result simulate(const std::string& name, const Scale& scale, const Trace& trace, const PlacementPolicySettings& settings, bool isOracle, const DecisionFunction& decide)
{
    Random random(7);
    ExpertMap current = ExpertMap::contiguous(scale.ranks, scale.experts);
    ExpertMap pending;
    int pendingUntil = -1;
    ExpertLoadEstimate estimate(scale.ranks, scale.experts, ExpertLoadSettings());
    std::deque<ExpertLoadSample> reports;
    std::vector<double> skews;
    Result result;
    result.policy = name;
    int decisions = 0;
    for (int interval = 0; interval < intervalCount; ++interval) {
        TimePoint now = TimePoint() + std::chrono::seconds(static_cast<int>(interval * intervalSeconds));
        if (pendingUntil >= 0 && interval >= pendingUntil) {
            current = pending;
            pendingUntil = -1;
        }
        if (interval % intervalsPerDecision == 0 && pendingUntil < 0) {
            std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
            std::optional<ExpertMap> next = decide(interval, now, current, estimate);
            double decisionMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
            result.meanDecisionMs += decisionMs;
            result.worstDecisionMs = std::max(result.worstDecisionMs, decisionMs);
            ++decisions;
            std::uint64_t bytes = next ? bytesToLoad(current, *next, settings.bytesPerExpert) : 0;
            if (next && replicasToLoad(*next, current) + bytes > 0) {
                ++result.switches;
                result.bytes += bytes;
                pending = *next;
                double loadSeconds = static_cast<double>(bytes) / settings.weightStoreBytesPerSecond;
                pendingUntil = isOracle ? interval : interval + static_cast<int>(std::ceil(loadSeconds / intervalSeconds));
                result.lostSeconds += std::chrono::duration<double>(settings.switchStall).count();
                if (isOracle) {
                    current = pending;
                    pendingUntil = -1;
                }
            }
        }
        Loads times = rankTimes(current, trace.loads[interval], trace.slowness[interval]);
        double skew = skewOf(times);
        skews.push_back(skew);
        result.lostSeconds += intervalSeconds * (1 - 1 / skew);

        ExpertLoadSample sample { now, trace.loads[interval], times, current };
        for (double& tokens : sample.expertTokens)
            tokens *= 1 + reportNoise * (2 * random.fraction() - 1);
        for (double& seconds : sample.rankSeconds)
            seconds *= 1 + reportNoise * (2 * random.fraction() - 1);
        reports.push_back(sample);
        if (reports.size() > reportLag) {
            estimate.observe(reports.front());
            reports.pop_front();
        }
    }
    result.meanDecisionMs /= decisions;
    result.meanSkew = std::accumulate(skews.begin(), skews.end(), 0.0) / intervalCount;
    std::sort(skews.begin(), skews.end());
    result.p99Skew = skews[intervalCount * 99 / 100];
    return result;
}

// Returns the sum of the actual loads until the next decision. Only the oracle has access to it.
Loads futureLoad(const Trace& trace, int interval)
{
    Loads sum(trace.loads[0].size(), 0);
    for (int next = interval; next < std::min(interval + intervalsPerDecision, intervalCount); ++next) {
        for (std::size_t expert = 0; expert < sum.size(); ++expert)
            sum[expert] += trace.loads[next][expert];
    }
    return sum;
}

// Returns the mean load and slowness of the given number of intervals, beginning with the interval from.
std::pair<Loads, Loads> meanLoadAndSlowness(const Trace& trace, int from, int intervals)
{
    Loads loads(trace.loads[0].size(), 0);
    Loads slowness(trace.slowness[0].size(), 0);
    from = std::min(from, intervalCount - 1);
    int to = std::min(from + intervals, intervalCount);
    for (int interval = from; interval < to; ++interval) {
        for (std::size_t expert = 0; expert < loads.size(); ++expert)
            loads[expert] += trace.loads[interval][expert] / (to - from);
        for (std::size_t rank = 0; rank < slowness.size(); ++rank)
            slowness[rank] += trace.slowness[interval][rank] / (to - from);
    }
    return { loads, slowness };
}

// Simulates an oracle that has access to the future load but loads experts only at the rate of the weight store. It
// loads continuously and optimizes for the mean load of the intervals that follow the loading. Returns the best result
// of several horizons for each trace. This is a reference and not a proven optimum.
Result runBoundOracle(const Scale& scale, const Trace& trace, const PlacementPolicySettings& settings)
{
    double secondsPerExpert = static_cast<double>(settings.bytesPerExpert) / settings.weightStoreBytesPerSecond;
    std::size_t maxLoads = static_cast<std::size_t>(intervalsPerDecision * intervalSeconds / secondsPerExpert);
    Result best;
    for (int horizonIntervals : { 3, 6, 12, 30, 60 }) {
        Result result = simulate("bound", scale, trace, settings, false, [&](int interval, TimePoint, const ExpertMap& current, const ExpertLoadEstimate&) -> std::optional<ExpertMap> {
            std::pair<Loads, Loads> future = meanLoadAndSlowness(trace, interval + intervalsPerDecision, horizonIntervals);
            MapSearch search(current, future.first, future.second, scale.slots);
            // A call of improve loads at most two experts.
            for (std::size_t loads = 0; loads + 2 <= maxLoads;) {
                std::size_t added = search.improve();
                if (added == 0)
                    break;
                loads += added;
            }
            return search.map(current.version() + 1);
        });
        if (best.policy.empty() || result.meanSkew < best.meanSkew)
            best = result;
    }
    return best;
}

std::vector<Result> runAll(const Scale& scale, const Trace& trace)
{
    PlacementPolicySettings settings;
    settings.slotsPerRank = scale.slots;
    PlacementPolicySettings skewFocusedSettings = settings;
    skewFocusedSettings.skewWeight = 3;
    PlacementPolicySettings costFocusedSettings = settings;
    costFocusedSettings.costWeight = 3;
    PlacementPolicy skewFocusedPolicy(skewFocusedSettings);
    PlacementPolicy costFocusedPolicy(costFocusedSettings);
    std::size_t slots = scale.slots;

    auto run = [&](const char* name, bool isOracle, const DecisionFunction& decide) { return simulate(name, scale, trace, settings, isOracle, decide); };
    auto policy = [](PlacementPolicy& placementPolicy) {
        return [&placementPolicy](int, TimePoint now, const ExpertMap& current, const ExpertLoadEstimate& estimate) -> std::optional<ExpertMap> {
            std::optional<PlacementDecision> decision = placementPolicy.decide(now, current, estimate);
            return decision ? std::optional<ExpertMap>(decision->map) : std::nullopt;
        };
    };
    std::vector<Result> results;
    results.push_back(run("static", false, [](int, TimePoint, const ExpertMap&, const ExpertLoadEstimate&) { return std::nullopt; }));
    results.push_back(run("greedy", false, [slots](int, TimePoint, const ExpertMap& current, const ExpertLoadEstimate& estimate) -> std::optional<ExpertMap> {
        if (!estimate.hasData())
            return std::nullopt;
        return improveGreedily(current, estimate.forecast(), estimate.slowness(), slots);
    }));
    results.push_back(run("scratch", false, [slots, &scale](int, TimePoint, const ExpertMap& current, const ExpertLoadEstimate& estimate) -> std::optional<ExpertMap> {
        if (!estimate.hasData())
            return std::nullopt;
        return packFromScratch(current.version() + 1, scale.ranks, estimate.forecast(), estimate.slowness(), slots);
    }));
    results.push_back(run("oracle", true, [slots, &scale, &trace](int interval, TimePoint, const ExpertMap& current, const ExpertLoadEstimate&) -> std::optional<ExpertMap> {
        Loads future = futureLoad(trace, interval);
        const Loads& slowness = trace.slowness[interval];
        ExpertMap improvedMap = improveGreedily(current, future, slowness, slots);
        ExpertMap packedMap = improveGreedily(packFromScratch(current.version() + 1, scale.ranks, future, slowness, slots), future, slowness, slots);
        return skewOf(rankTimes(improvedMap, future, slowness)) <= skewOf(rankTimes(packedMap, future, slowness)) ? improvedMap : packedMap;
    }));
    results.push_back(runBoundOracle(scale, trace, settings));
    results.push_back(run("vitosha", false, policy(skewFocusedPolicy)));
    results.push_back(run("tubolimpo", false, policy(costFocusedPolicy)));
    return results;
}

}

// Usage: benchPlacement [TSV file]
int main(int argumentCount, char** arguments)
{
    std::ofstream tsv;
    if (argumentCount > 1)
        tsv.open(arguments[1]);
    tsv << "ranks\texperts\tpattern\tpolicy\tmeanSkew\tp99Skew\tskewOverOracle\tskewOverBoundOracle\tgigabytes\tbytesOverGreedy\tswitches\tlostSeconds\tmeanDecisionMs\tworstDecisionMs\n";
    std::printf("%-8s %-12s %-10s %6s %6s %8s %8s %8s %8s %8s %8s %9s %9s\n", "scale", "pattern", "policy", "mean", "p99", "/oracle", "/bound", "GB", "/greedy", "switches", "lost s", "decide ms", "worst ms");
    for (const Scale& scale : { Scale { 8, 32, 6 }, Scale { 64, 256, 6 } }) {
        for (Pattern pattern : { Pattern::Slow, Pattern::Sudden, Pattern::Oscillating, Pattern::Straggler }) {
            std::vector<Result> results = runAll(scale, makeTrace(scale, pattern, 20261204));
            auto findResult = [&results](const char* name) { return *std::find_if(results.begin(), results.end(), [name](const Result& result) { return result.policy == name; }); };
            double oracleSkew = findResult("oracle").meanSkew;
            double boundSkew = findResult("bound").meanSkew;
            double greedyBytes = static_cast<double>(findResult("greedy").bytes);
            for (const Result& result : results) {
                std::string size = std::to_string(scale.ranks) + "x" + std::to_string(scale.experts);
                double gigabytes = static_cast<double>(result.bytes) / 1e9;
                double bytesOverGreedy = greedyBytes > 0 ? static_cast<double>(result.bytes) / greedyBytes : 0;
                std::printf("%-8s %-12s %-10s %6.3f %6.3f %8.3f %8.3f %8.1f %8.3f %8d %8.0f %9.2f %9.2f\n", size.c_str(), patternName(pattern), result.policy.c_str(),
                    result.meanSkew, result.p99Skew, result.meanSkew / oracleSkew, result.meanSkew / boundSkew, gigabytes, bytesOverGreedy, result.switches, result.lostSeconds, result.meanDecisionMs, result.worstDecisionMs);
                tsv << scale.ranks << '\t' << scale.experts << '\t' << patternName(pattern) << '\t' << result.policy << '\t' << result.meanSkew << '\t' << result.p99Skew << '\t'
                    << result.meanSkew / oracleSkew << '\t' << result.meanSkew / boundSkew << '\t' << gigabytes << '\t' << bytesOverGreedy << '\t' << result.switches << '\t' << result.lostSeconds << '\t'
                    << result.meanDecisionMs << '\t' << result.worstDecisionMs << '\n';
            }
        }
    }
    return 0;
}
