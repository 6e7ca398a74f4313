#include "RoutingSimulation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>
#include <stdexcept>
#include <string>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

constexpr std::array policies { Policy::RoundRobin, Policy::LeastReported, Policy::TwoChoices, Policy::Damaskgrade };
constexpr std::array<std::uint64_t, 3> seeds { 11, 12, 13 };

const char* policyName(Policy policy)
{
    switch (policy) {
    case Policy::RoundRobin:
        return "round-robin";
    case Policy::LeastReported:
        return "least-reported";
    case Policy::TwoChoices:
        return "two-choices";
    case Policy::Damaskgrade:
        return "damaskgrade";
    }
    return "";
}

std::vector<Scenario> scenarios()
{
    return {
        { "lag 50 ms", milliseconds(50), 60, Fault::None },
        { "lag 250 ms", milliseconds(250), 60, Fault::None },
        { "lag 1 s", milliseconds(1000), 60, Fault::None },
        { "lag 3 s", milliseconds(3000), 60, Fault::None },
        { "high load", milliseconds(250), 80, Fault::None },
        { "straggler", milliseconds(250), 60, Fault::Straggler },
        { "one frozen", milliseconds(250), 60, Fault::Stalled },
        { "zone lost", milliseconds(250), 45, Fault::ZoneLost },
    };
}

template <typename T>
double quantile(std::vector<T>& values, double share)
{
    if (values.empty())
        return 0;
    auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

struct Row {
    std::array<double, 8> columns {};
};

constexpr std::array columnNames { "ttft-p50", "ttft-p95", "after-p95", "tbt-p95", "hit-share", "imbalance", "retries", "unanswered" };

Row measure(const Scenario& scenario, Policy policy)
{
    Samples samples;
    for (std::uint64_t seed : seeds)
        RoutingSimulation(scenario, policy, seed, samples).run();
    double calls = static_cast<double>(samples.calls);
    double imbalance = std::accumulate(samples.imbalance.begin(), samples.imbalance.end(), 0.0) / static_cast<double>(samples.imbalance.size());
    return { { quantile(samples.firstToken, 0.5), quantile(samples.firstToken, 0.95), quantile(samples.firstTokenAfterRecovery, 0.95),
        quantile(samples.tokenInterval, 0.95), static_cast<double>(samples.hitBlocks) / static_cast<double>(samples.promptBlocks),
        imbalance, static_cast<double>(samples.retries) / calls, static_cast<double>(samples.unanswered) / calls } };
}

void print(std::FILE* tsv, const Scenario& scenario, Policy policy, const Row& row, const Row& reference)
{
    std::printf("%-12s %-15s", scenario.name.c_str(), policyName(policy));
    std::fprintf(tsv, "%s\t%s", scenario.name.c_str(), policyName(policy));
    for (std::size_t i = 0; i < row.columns.size(); ++i) {
        bool isTime = i < 4;
        // Times are printed as ratios to the two-choices policy of the same run, since their absolute values depend on the
        // engine model.
        double printedValue = isTime && reference.columns[i] > 0 ? row.columns[i] / reference.columns[i] : row.columns[i];
        std::printf(" %10.3f", printedValue);
        std::fprintf(tsv, "\t%.4f", printedValue);
    }
    std::printf("\n");
    std::fprintf(tsv, "\n");
}

void run(const char* path)
{
    std::FILE* tsv = std::fopen(path, "w");
    if (!tsv)
        throw std::runtime_error(std::string("cannot open output file for writing: ") + path);
    std::printf("4 entries, 16 engines, 3 seeds of 60 s. Times are ratios to two-choices in the same run.\n%-12s %-15s", "scenario", "policy");
    std::fprintf(tsv, "scenario\tpolicy");
    for (const char* name : columnNames) {
        std::printf(" %10s", name);
        std::fprintf(tsv, "\t%s", name);
    }
    std::printf("\n");
    std::fprintf(tsv, "\n");
    for (const Scenario& scenario : scenarios()) {
        std::vector<Row> rows;
        rows.reserve(policies.size());
        for (Policy policy : policies)
            rows.push_back(measure(scenario, policy));
        for (std::size_t i = 0; i < policies.size(); ++i)
            print(tsv, scenario, policies[i], rows[i], rows[2]);
        std::printf("%-12s two-choices in simulated time: ttft p50 %.0f ms, p95 %.0f ms; tbt p95 %.0f ms\n", "",
            rows[2].columns[0], rows[2].columns[1], rows[2].columns[3]);
    }
    std::fclose(tsv);
}

}

}

// Usage: benchRouting [TSV file]
int main(int argumentCount, char** arguments)
{
    Damaskgrade::run(argumentCount > 1 ? arguments[1] : "routing.tsv");
    return 0;
}
