#include "LimitsSimulation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <string>

namespace Damaskgrade {

namespace {

constexpr std::array policies { LimitPolicy::Fifo, LimitPolicy::BoundedFifo, LimitPolicy::Damaskgrade };
constexpr std::array<std::uint64_t, 3> seeds { 21, 22, 23 };
constexpr double measurementSeconds = 20;

const char* policyName(LimitPolicy policy)
{
    switch (policy) {
    case LimitPolicy::Fifo:
        return "fifo";
    case LimitPolicy::BoundedFifo:
        return "bounded-fifo";
    case LimitPolicy::Damaskgrade:
        return "damaskgrade";
    }
    return "";
}

// Customers 0 and 1 have weight 4, the others weight 1. The call rate of each customer is its weighted share of the
// capacity times the load.
LimitScenario makeScenario(const std::string& name, std::size_t customers, double load)
{
    LimitScenario scenario;
    scenario.name = name;
    double totalWeight = static_cast<double>(customers) + 6;
    for (std::size_t i = 0; i < customers; ++i) {
        CustomerLoad customer;
        customer.name = "customer-" + std::to_string(i);
        customer.weight = i < 2 ? 4 : 1;
        customer.callsPerSecond = load * static_cast<double>(scenario.slots) * customer.weight / totalWeight;
        customer.burstCallsPerSecond = customer.callsPerSecond;
        scenario.customers.push_back(customer);
    }
    return scenario;
}

std::vector<LimitScenario> scenarios()
{
    std::vector<LimitScenario> result {
        makeScenario("load 0.8", 10, 0.8),
        makeScenario("load 1", 10, 1),
        makeScenario("load 1.5", 10, 1.5),
        makeScenario("load 3", 10, 3),
    };
    LimitScenario burst = makeScenario("burst", 10, 0.8);
    burst.customers[0].burstCallsPerSecond *= 8;
    result.push_back(burst);
    LimitScenario machineLost = makeScenario("machine lost", 10, 0.8);
    machineLost.lostSlots = machineLost.slots / 3;
    result.push_back(machineLost);
    LimitScenario fewEntries = makeScenario("one entry", 10, 1.5);
    fewEntries.customers[0].entries = 1;
    result.push_back(fewEntries);
    LimitScenario twoEntries = makeScenario("two entries", 10, 1.5);
    twoEntries.customers[0].entries = 2;
    result.push_back(twoEntries);
    result.push_back(makeScenario("1300 cust.", 1300, 1.5));
    // Each customer calls about every 18 s, so after a warm-up of 20 s most customers have no history yet.
    LimitScenario settled = makeScenario("1300 settled", 1300, 1.5);
    settled.warmUp = std::chrono::seconds(100);
    result.push_back(settled);
    return result;
}

// Returns the weighted max-min fair rates in calls per second. No customer gets more than its call rate, and the
// remaining capacity is divided by weight.
std::vector<double> idealRates(const LimitScenario& scenario)
{
    std::vector<double> rates(scenario.customers.size(), -1);
    double remainingCapacity = static_cast<double>(scenario.slots - scenario.lostSlots);
    bool isChanged = true;
    double perWeight = 0;
    while (isChanged) {
        isChanged = false;
        double unsatisfiedWeight = 0;
        for (std::size_t i = 0; i < rates.size(); ++i)
            unsatisfiedWeight += rates[i] < 0 ? scenario.customers[i].weight : 0;
        perWeight = unsatisfiedWeight > 0 ? remainingCapacity / unsatisfiedWeight : 0;
        for (std::size_t i = 0; i < rates.size(); ++i) {
            const CustomerLoad& customer = scenario.customers[i];
            if (rates[i] >= 0 || customer.burstCallsPerSecond > perWeight * customer.weight)
                continue;
            rates[i] = customer.burstCallsPerSecond;
            remainingCapacity -= rates[i];
            isChanged = true;
        }
    }
    for (std::size_t i = 0; i < rates.size(); ++i) {
        if (rates[i] < 0)
            rates[i] = perWeight * scenario.customers[i].weight;
    }
    return rates;
}

struct ResultRow {
    std::array<double, 8> values {};
};

constexpr std::array columnNames { "goodput", "answered", "late", "first", "smallest", "others", "fairness", "refusal-s" };

double onTimeShareOfIdeal(const CustomerResult& result, double idealRate)
{
    // If fewer calls arrived than the ideal rate allows, the number of arrived calls is the reference.
    double ideal = std::min(idealRate * measurementSeconds * seeds.size(), static_cast<double>(result.calls));
    return ideal > 0 ? static_cast<double>(result.onTime) / ideal : 1;
}

ResultRow measure(const LimitScenario& scenario, LimitPolicy policy)
{
    LimitResult result;
    for (std::uint64_t seed : seeds)
        LimitsSimulation(scenario, policy, seed, result).run();
    std::vector<double> ideal = idealRates(scenario);
    double idealTotal = 0;
    double onTime = 0;
    double late = 0;
    double others = 0;
    double othersIdeal = 0;
    double sum = 0;
    double squares = 0;
    double smallest = 1e9;
    for (std::size_t i = 0; i < ideal.size(); ++i) {
        const CustomerResult& customer = result.customers[i];
        double share = onTimeShareOfIdeal(customer, ideal[i]);
        smallest = std::min(smallest, share);
        sum += share;
        squares += share * share;
        idealTotal += ideal[i] * measurementSeconds * seeds.size();
        onTime += static_cast<double>(customer.onTime);
        late += static_cast<double>(customer.late);
        if (i > 0) {
            others += static_cast<double>(customer.onTime);
            othersIdeal += ideal[i] * measurementSeconds * seeds.size();
        }
    }
    // Jain's fairness index of the on-time shares: 1 if all customers get the same fraction of their ideal share.
    double fairness = squares > 0 ? sum * sum / (squares * static_cast<double>(ideal.size())) : 0;
    double refusalDelay = result.refusals > 0 ? result.refusalDelayTotal / static_cast<double>(result.refusals) : 0;
    return { { onTime / idealTotal, static_cast<double>(result.answeredInWindow) / idealTotal, late / std::max(1.0, onTime + late), onTimeShareOfIdeal(result.customers[0], ideal[0]), smallest,
        others / othersIdeal, fairness, refusalDelay } };
}

void run(const char* path)
{
    std::FILE* tsv = std::fopen(path, "w");
    if (!tsv)
        throw std::runtime_error(std::string("cannot open output file for writing: ") + path);
    std::printf("4 entries, 48 slots, calls of 0.5 s to 1.5 s with a deadline of 4 s, 3 seeds.\n"
                "goodput: on-time answers to calls that arrive in the measurement window over the ideal; answered: on-time answers\n"
                "given in the measurement window over the ideal; late: share of executed calls that missed the deadline;\n"
                "first, smallest, others: on-time answers of the first customer, the worst customer and all but the first over\n"
                "their ideal share; fairness: Jain's index; refusal-s: mean seconds until a refusal.\n%-13s %-13s",
        "scenario", "policy");
    std::fprintf(tsv, "scenario\tpolicy");
    for (const char* name : columnNames) {
        std::printf(" %9s", name);
        std::fprintf(tsv, "\t%s", name);
    }
    std::printf("\n");
    std::fprintf(tsv, "\n");
    for (const LimitScenario& scenario : scenarios()) {
        for (LimitPolicy policy : policies) {
            ResultRow row = measure(scenario, policy);
            std::printf("%-13s %-13s", scenario.name.c_str(), policyName(policy));
            std::fprintf(tsv, "%s\t%s", scenario.name.c_str(), policyName(policy));
            for (double value : row.values) {
                std::printf(" %9.3f", value);
                std::fprintf(tsv, "\t%.4f", value);
            }
            std::printf("\n");
            std::fprintf(tsv, "\n");
        }
    }
    std::fclose(tsv);
}

}

}

// Usage: benchLimits [TSV file]
int main(int argumentCount, char** arguments)
{
    Damaskgrade::run(argumentCount > 1 ? arguments[1] : "limits.tsv");
    return 0;
}
