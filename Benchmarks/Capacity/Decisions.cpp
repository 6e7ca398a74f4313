#include "CallLoadSimulation.h"
#include "Limits/AdmissionController.h"
#include "Placement/PlacementPolicy.h"
#include "Routing/BackendServerSelector.h"
#include "Sections.h"

#include <cmath>
#include <cstdio>

namespace Damaskgrade {

namespace {

constexpr double callsPerSecondPerEntry = targetCallsPerSecond / targetEntries;
// Number of calls that are queued when another call arrives.
constexpr std::size_t queuedCalls = 100;

// Returns the processor seconds to queue a call, to start it when a ticket is available, and to end it.
double admissionSeconds(int customers)
{
    ManualClock clock;
    AdmissionController controller(clock, AdmissionSettings(), CustomerShares(1));
    std::map<std::string, double> weights;
    for (int number = 0; number < customers; ++number)
        weights["customer-" + std::to_string(number)] = 1 + number % 4;
    controller.setWeights(weights);
    std::uint64_t arrived = 0;
    auto submit = [&] {
        AdmissionRequest request;
        request.callId = "call-" + std::to_string(++arrived);
        request.customer = "customer-" + std::to_string(arrived % static_cast<std::uint64_t>(customers));
        request.deadline = clock.now() + std::chrono::hours(1);
        controller.submit(request);
    };
    controller.setFreeTickets(1);
    for (std::size_t number = 0; number < queuedCalls; ++number)
        submit();
    return secondsPerCall([&] {
        submit();
        clock.advance(std::chrono::milliseconds(30));
        controller.setFreeTickets(1);
        for (const AdmissionDecision& decision : controller.advance()) {
            if (decision.action == AdmissionAction::Start)
                controller.finished(decision.callId);
        }
    });
}

// Returns the processor seconds of one selection of a server.
double selectionSeconds(int count)
{
    ManualClock clock;
    Random random(1);
    BackendServerTable table(clock);
    PrefixCacheIndex cache(20000);
    OutlierDetector outliers(clock, OutlierSettings());
    ZoneLatencies latencies(std::chrono::microseconds(500));
    for (int number = 0; number < count; ++number) {
        HelloMessage hello = makeHello("agent-" + std::to_string(1000 + number));
        table.connected(hello);
        outliers.add(hello.name, hello.serves);
        TicketsMessage tickets;
        tickets.session = 1;
        tickets.firstSequence = 1;
        tickets.count = 11;
        tickets.load.capacity = 128;
        tickets.load.running = static_cast<std::uint32_t>(random.index(128));
        tickets.load.stepTime = std::chrono::milliseconds(27);
        table.ticketsReceived(hello.name, tickets);
        for (std::uint64_t block = 1; block <= 8; ++block)
            tickets.cacheEvents.push_back({ block, CacheEventKind::Stored, block + static_cast<std::uint64_t>(number % 4) });
        cache.apply(hello.name, tickets.cacheEvents);
    }
    BackendServerSelector selector(table, cache, outliers, latencies, random, SelectorSettings { "zone" }, [](std::string_view) { return 1.0; });
    std::vector<std::uint64_t> prefix { 1, 2, 3, 4, 5, 6, 7, 8 };
    SelectionRequest request;
    request.serves = "model";
    request.prefix = prefix;
    if (selector.select(request).code != ResultCode::Ok)
        std::printf("no server was selected\n");
    return secondsPerCall([&] { selector.select(request); });
}

// Processor seconds of one load sample and of one placement decision.
struct PlacementCosts {
    double observe { 0 };
    double decide { 0 };
    bool isChanged { false };
};

PlacementCosts placementSeconds(std::size_t ranks, std::size_t experts)
{
    Random random(1);
    ExpertMap map = ExpertMap::contiguous(ranks, experts);
    ExpertLoadSample sample;
    sample.map = map;
    for (std::size_t expert = 0; expert < experts; ++expert)
        sample.expertTokens.push_back(std::exp(3 * random.fraction()));
    sample.rankSeconds = map.rankLoads(sample.expertTokens);
    ExpertLoadEstimate estimate(ranks, experts, ExpertLoadSettings());
    PlacementCosts costs;
    costs.observe = secondsPerCall([&] {
        sample.time += std::chrono::seconds(10);
        estimate.observe(sample);
    });
    PlacementPolicySettings settings;
    settings.slotsPerRank = experts / ranks + 2;
    costs.decide = secondsPerCall([&] {
        PlacementPolicy policy(settings);
        costs.isChanged = policy.decide(sample.time, map, estimate).has_value();
    });
    return costs;
}

}

void printDecisions()
{
    std::printf("\nAdmission of a call that is queued behind %zu others, starts and ends, at the entry's share of %.1f calls/s\n", queuedCalls, callsPerSecondPerEntry);
    std::printf("%10s %12s %8s\n", "customers", "core", "ratio");
    double previousSeconds = 0;
    for (int customers : { 10, 130, 1300 }) {
        double seconds = admissionSeconds(customers);
        std::printf("%10d %12s %8.2f\n", customers, formatCoreShare(seconds * callsPerSecondPerEntry).c_str(), previousSeconds > 0 ? seconds / previousSeconds : 1);
        previousSeconds = seconds;
    }
    std::printf("\nSelection of a server for a call, at the entry's share\n%10s %12s %8s\n", "servers", "core", "ratio");
    previousSeconds = 0;
    for (int servers : { 16, 24, 64, 600 }) {
        double seconds = selectionSeconds(servers);
        std::printf("%10d %12s %8.2f\n", servers, formatCoreShare(seconds * callsPerSecondPerEntry).c_str(), previousSeconds > 0 ? seconds / previousSeconds : 1);
        previousSeconds = seconds;
    }
    std::printf("\nPlacement decision for one map, with a decision every 30 s and a sample every 10 s\n");
    std::printf("%6s %8s %12s %14s %8s %14s %8s\n", "ranks", "experts", "core, group", "ms, a decision", "ratio", "core, sample", "change");
    previousSeconds = 0;
    for (auto [ranks, experts] : { std::pair<std::size_t, std::size_t> { 8, 32 }, { 32, 128 }, { 64, 256 } }) {
        PlacementCosts costs = placementSeconds(ranks, experts);
        std::printf("%6zu %8zu %12s %14.2f %8.2f %14s %8s\n", ranks, experts, formatCoreShare(costs.decide / 30 + costs.observe / 10).c_str(), 1e3 * costs.decide,
            previousSeconds > 0 ? costs.decide / previousSeconds : 1, formatCoreShare(costs.observe / 10).c_str(), costs.isChanged ? "yes" : "no");
        previousSeconds = costs.decide;
    }
    std::fflush(stdout);
}

}
