#include "FleetSimulation.h"
#include "Sections.h"

#include <algorithm>
#include <cstdio>

namespace Damaskgrade {

namespace {

constexpr std::chrono::seconds warmUp { 6 };
constexpr std::chrono::seconds measurementTime { 5 };
// EntryProcess reads the status of all peers and the admission state in each tick.
constexpr double ticksPerSecond = 100;
// Number of samples at intervals of 100 ms.
constexpr int admissionSamples = 20;

void printConfigurationChange(std::size_t slots, int customers)
{
    ConfigurationText text = makeDocument(customers);
    FleetSimulation simulation(slots, text);
    simulation.advance(warmUp);
    FleetCounters before = simulation.totalCounters();
    FleetCounters coordinator = simulation.counters(0);
    FleetCounters member = simulation.counters(1);
    TimePoint start = simulation.now();
    std::string section = text.section("customers");
    section.replace(section.find("weight = 2"), 10, "weight = 3");
    simulation.submit("change", "customers", section);
    while (!simulation.isInForceEverywhere(2) && simulation.now() - start < std::chrono::seconds(20))
        simulation.advance(std::chrono::milliseconds(25));
    Duration elapsed = simulation.now() - start;
    std::string state(changeStateName(simulation.protocol(0).change("change").state));
    FleetCounters after = simulation.totalCounters();
    std::printf("%6zu %10d %9.1f %11s %9.2f %12.1f %13.1f %13.2f %13.2f %8llu %8llu\n", slots, customers,
        static_cast<double>(text.join().size()) / 1e3, state.c_str(), std::chrono::duration<double>(elapsed).count(),
        static_cast<double>(simulation.counters(0).bytesSent - coordinator.bytesSent) / 1e3, static_cast<double>(after.bytesSent - before.bytesSent) / 1e3,
        1e3 * (simulation.counters(0).time.seconds() - coordinator.time.seconds()), 1e3 * (simulation.counters(1).time.seconds() - member.time.seconds()),
        static_cast<unsigned long long>(after.tableReads - before.tableReads), static_cast<unsigned long long>(after.tableWrites - before.tableWrites));
}

// Prints how many entries admit calls after they lost the connection to the other entries and, unless
// isTableReachable, to the table.
void printEntryLoss(std::size_t slots, std::size_t remaining, bool isTableReachable)
{
    FleetSimulation simulation(slots, makeDocument(10));
    simulation.advance(warmUp);
    simulation.isolate(remaining, isTableReachable);
    simulation.advance(2 * timeLimitsForSlots(slots).contactLease);
    std::size_t fewestAdmitting = slots;
    std::size_t mostAdmitting = 0;
    for (int sample = 0; sample < admissionSamples; ++sample) {
        simulation.advance(std::chrono::milliseconds(100));
        fewestAdmitting = std::min(fewestAdmitting, simulation.admittingCount());
        mostAdmitting = std::max(mostAdmitting, simulation.admittingCount());
    }
    std::printf("%6zu %8zu %8s %12zu %8zu\n", slots, remaining, isTableReachable ? "yes" : "no", fewestAdmitting, mostAdmitting);
}

void printChangeAfterLoss(std::size_t slots, std::size_t remaining, std::chrono::milliseconds delay)
{
    ConfigurationText text = makeDocument(10);
    FleetSimulation simulation(slots, text);
    simulation.advance(warmUp);
    simulation.isolate(remaining, true);
    simulation.advance(delay);
    TimePoint start = simulation.now();
    simulation.submit("change", "customers", text.section("customers") + "# changed\n");
    auto isDecided = [&simulation] { return simulation.isInForceEverywhere(2) || simulation.protocol(0).change("change").state == ChangeState::Refused; };
    while (!isDecided() && simulation.now() - start < std::chrono::seconds(20))
        simulation.advance(std::chrono::milliseconds(25));
    std::string state(changeStateName(simulation.protocol(0).change("change").state));
    std::printf("%6zu %8zu %12.1f %12s %8.2f\n", slots, remaining, std::chrono::duration<double>(delay).count(), state.c_str(), std::chrono::duration<double>(simulation.now() - start).count());
}

}

void printMembership(const char* path)
{
    std::FILE* tsv = path ? std::fopen(path, "w") : nullptr;
    if (tsv)
        std::fprintf(tsv, "slots\tkilobytesPerSecond\tcorePercent\n");
    std::printf("\nMembership and configuration of one idle entry, means over all entries and %lld s on the manual clock\n", static_cast<long long>(measurementTime.count()));
    std::printf("%6s %9s %10s %10s %12s %12s %12s %14s %12s\n", "slots", "period", "messages/s", "KB/s sent", "core, links", "core, ticks", "ratio", "KB an entry", "reads/s");
    double previousCore = 0;
    for (std::size_t slots : { 4, 16, 32, 64, 128, 340 }) {
        ConfigurationText text = makeDocument(10);
        std::size_t bytesBefore = allocatedBytes();
        FleetSimulation simulation(slots, text);
        simulation.advance(warmUp);
        double bytesPerEntry = static_cast<double>(allocatedBytes() - bytesBefore) / static_cast<double>(slots);
        FleetCounters before = simulation.totalCounters();
        simulation.advance(measurementTime);
        FleetCounters after = simulation.totalCounters();
        double entrySeconds = static_cast<double>(slots * measurementTime.count());
        double tickCore = ticksPerSecond * secondsPerCall([&simulation] {
            simulation.protocol(0).admission();
            for (const std::string& name : simulation.names())
                simulation.membership(0).status(name);
        });
        double linkCore = (after.time.seconds() - before.time.seconds()) / entrySeconds;
        std::printf("%6zu %6lldms %10.1f %10.2f %12s %12s %12.2f %14.2f %12.2f\n", slots,
            static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(timeLimitsForSlots(slots).gossipPeriod).count()),
            static_cast<double>(after.messagesSent - before.messagesSent) / entrySeconds, static_cast<double>(after.bytesSent - before.bytesSent) / entrySeconds / 1e3,
            formatCoreShare(linkCore).c_str(), formatCoreShare(tickCore).c_str(), previousCore > 0 ? (linkCore + tickCore) / previousCore : 1, bytesPerEntry / 1e3,
            static_cast<double>(after.tableReads - before.tableReads) / entrySeconds);
        if (tsv)
            std::fprintf(tsv, "%zu\t%.3f\t%.4f\n", slots, static_cast<double>(after.bytesSent - before.bytesSent) / entrySeconds / 1e3, 100 * (linkCore + tickCore));
        previousCore = linkCore + tickCore;
        std::fflush(stdout);
    }
    if (tsv)
        std::fclose(tsv);
}

void printConfigurationChanges()
{
    std::printf("\nOne change of the customers section until it is in force everywhere; processor milliseconds of this run\n");
    std::printf("%6s %10s %9s %11s %9s %12s %13s %13s %13s %8s %8s\n", "slots", "customers", "KB", "state", "s", "KB, coord.", "KB, all", "core, coord.", "core, member", "reads", "writes");
    for (std::size_t slots : { 4, 32, 64, 128, 340 })
        printConfigurationChange(slots, 130);
    for (int customers : { 10, 1300 })
        printConfigurationChange(targetEntries, customers);
    printConfigurationChange(4, 10);
    std::fflush(stdout);
}

void printEntryLosses()
{
    std::printf("\nEntries that admit calls after they could not reach the others for two contact leases\n%6s %8s %8s %12s %8s\n", "slots", "left", "table", "admitting", "at most");
    for (std::size_t remaining : { 3, 2, 1 }) {
        printEntryLoss(4, remaining, true);
        printEntryLoss(4, remaining, false);
    }
    for (std::size_t remaining : { 283, 255, 227, 200, 170, 169 }) {
        printEntryLoss(targetEntries, remaining, true);
        printEntryLoss(targetEntries, remaining, false);
    }
    std::printf("\nA change submitted after a loss of entries, with the table reachable\n%6s %8s %12s %12s %8s\n", "slots", "left", "s after loss", "state", "s");
    for (int delay : { 500, 8000 }) {
        printChangeAfterLoss(4, 3, std::chrono::milliseconds(delay));
        printChangeAfterLoss(targetEntries, 283, std::chrono::milliseconds(delay));
        printChangeAfterLoss(targetEntries, 170, std::chrono::milliseconds(delay));
    }
}

}
