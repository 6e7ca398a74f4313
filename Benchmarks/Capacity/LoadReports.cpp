#include "CallLoadSimulation.h"
#include "Core/Endpoint.h"
#include "Platform/InstanceList.h"
#include "Routing/AgentSubset.h"
#include "Sections.h"

#include <algorithm>
#include <cstdio>

namespace Damaskgrade {

namespace {

constexpr std::chrono::seconds warmUp { 8 };
constexpr std::chrono::seconds measurementTime { 5 };
constexpr double callsPerSecondPerEntry = targetCallsPerSecond / targetEntries;
// Same rate as in EntryProcess.
constexpr double instancePollsPerSecond = 2;
constexpr std::size_t subsetSize = 24;
constexpr std::size_t minPerService = 4;

struct LoadReportRates {
    double messages { 0 };
    double kilobytes { 0 };
    double entryCore { 0 };
    double failed { 0 };
};

LoadReportRates measureLoadReports(std::size_t agents, double callsPerSecond)
{
    CallLoadSettings settings;
    settings.agents = agents;
    settings.sessionsPerAgent = std::max<std::size_t>(1, (targetEntries * agents + targetAgents / 2) / targetAgents);
    settings.callsPerSecond = callsPerSecond;
    CallLoadSimulation simulation(settings);
    simulation.advance(warmUp);
    CallLoadCounters before = simulation.counters();
    simulation.advance(measurementTime);
    CallLoadCounters after = simulation.counters();
    double seconds = static_cast<double>(measurementTime.count());
    LoadReportRates rates;
    rates.messages = static_cast<double>(after.ticketMessages - before.ticketMessages) / seconds;
    rates.kilobytes = static_cast<double>(after.ticketBytes - before.ticketBytes) / seconds / 1e3;
    rates.entryCore = (after.entrySeconds - before.entrySeconds) / seconds;
    rates.failed = static_cast<double>(after.failed);
    return rates;
}

void printInstanceList()
{
    std::printf("\nInstance list, polled %.0f times per second by each entry\n", instancePollsPerSecond);
    std::printf("%10s %10s %12s %12s %10s\n", "instances", "KB a list", "KB/s", "core", "ratio");
    double previousCore = 0;
    for (int instances : { 23, 235, 940 }) {
        std::vector<InstanceRecord> records;
        for (int number = 0; number < instances; ++number) {
            InstanceRecord record;
            record.name = "instance-" + std::to_string(1000 + number);
            // 340 of 940 instances are entries, distributed evenly over the list.
            if (number * 340 % 940 < 340)
                record.role = InstanceRole::Entry;
            record.availabilityZone = "region-a-" + std::to_string(number % 6);
            record.serves = "model-" + std::to_string(number % 3);
            record.link = parseEndpoint("10.1.2.3:8001");
            record.callers = parseEndpoint("10.1.2.3:8000");
            records.push_back(record);
        }
        std::string text = encodeInstances(records);
        AgentSubset subset(subsetSize, minPerService);
        double core = instancePollsPerSecond * secondsPerCall([&] {
            std::vector<SubsetAgent> agents;
            for (const InstanceRecord& record : decodeInstances(text))
                agents.push_back({ record.name, record.availabilityZone, record.serves });
            subset.select("entry", agents);
        });
        std::printf("%10d %10.1f %12.1f %12s %10.2f\n", instances, static_cast<double>(text.size()) / 1e3,
            instancePollsPerSecond * static_cast<double>(text.size()) / 1e3, formatCoreShare(core).c_str(), previousCore > 0 ? core / previousCore : 1);
        previousCore = core;
    }
}

}

void printLoadReports()
{
    std::printf("\nLoad reports and tickets at one entry, idle and with its share of R25, %.1f calls/s (KB without answers)\n", callsPerSecondPerEntry);
    std::printf("%7s %9s %12s %10s %12s %8s %14s %12s %8s\n", "agents", "sessions", "messages/s", "KB/s", "core", "ratio", "messages/s, R25", "KB/s, R25", "failed");
    double previousCore = 0;
    for (std::size_t agents : { 8, 16, 24, 48, 600 }) {
        LoadReportRates idle = measureLoadReports(agents, 0);
        LoadReportRates loaded = measureLoadReports(agents, callsPerSecondPerEntry);
        std::printf("%7zu %9d %12.1f %10.2f %12s %8.2f %14.1f %12.2f %8.0f\n", agents, static_cast<int>((targetEntries * agents + targetAgents / 2) / targetAgents),
            idle.messages, idle.kilobytes, formatCoreShare(idle.entryCore).c_str(), previousCore > 0 ? idle.entryCore / previousCore : 1, loaded.messages, loaded.kilobytes, loaded.failed);
        previousCore = idle.entryCore;
        std::fflush(stdout);
    }
    printInstanceList();
}

}
