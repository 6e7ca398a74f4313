#include "Fleet.h"
#include "Sections.h"

#include <algorithm>
#include <cstdio>

namespace Damaskgrade {

namespace {

constexpr std::chrono::seconds warmUp { 6 };
constexpr std::chrono::seconds measured { 5 };
// EntryProcess asks for the state of all peers and for admission in each of its ticks.
constexpr double ticksPerSecond = 100;
// Samples of 100 ms.
constexpr int admissionSamples = 20;

void printChange(std::size_t slots, int customers)
{
    ConfigurationText text = makeDocument(customers);
    Fleet fleet(slots, text);
    fleet.advance(warmUp);
    FleetCounters before = fleet.total();
    FleetCounters coordinator = fleet.counters(0);
    FleetCounters member = fleet.counters(1);
    TimePoint start = fleet.now();
    std::string section = text.section("customers");
    section.replace(section.find("weight = 2"), 10, "weight = 3");
    fleet.submit("change", "customers", section);
    while (!fleet.isInForceEverywhere(2) && fleet.now() - start < std::chrono::seconds(20))
        fleet.advance(std::chrono::milliseconds(25));
    Duration taken = fleet.now() - start;
    std::string state(changeStateName(fleet.protocol(0).change("change").state));
    FleetCounters after = fleet.total();
    std::printf("%6zu %10d %9.1f %11s %9.2f %12.1f %13.1f %13.2f %13.2f %8llu %8llu\n", slots, customers,
        static_cast<double>(text.join().size()) / 1e3, state.c_str(), std::chrono::duration<double>(taken).count(),
        static_cast<double>(fleet.counters(0).bytesSent - coordinator.bytesSent) / 1e3, static_cast<double>(after.bytesSent - before.bytesSent) / 1e3,
        1e3 * (fleet.counters(0).time.seconds() - coordinator.time.seconds()), 1e3 * (fleet.counters(1).time.seconds() - member.time.seconds()),
        static_cast<unsigned long long>(after.tableReads - before.tableReads), static_cast<unsigned long long>(after.tableWrites - before.tableWrites));
}

// Entries that lose sight of the others, and of the table or not.
void printLoss(std::size_t slots, std::size_t left, bool isTableReachable)
{
    Fleet fleet(slots, makeDocument(10));
    fleet.advance(warmUp);
    fleet.isolate(left, isTableReachable);
    fleet.advance(2 * timeLimitsForSlots(slots).contactLease);
    std::size_t least = slots;
    std::size_t most = 0;
    for (int sample = 0; sample < admissionSamples; ++sample) {
        fleet.advance(std::chrono::milliseconds(100));
        least = std::min(least, fleet.admitting());
        most = std::max(most, fleet.admitting());
    }
    std::printf("%6zu %8zu %8s %12zu %8zu\n", slots, left, isTableReachable ? "yes" : "no", least, most);
}

void printChangeAfterLoss(std::size_t slots, std::size_t left, std::chrono::milliseconds delay)
{
    ConfigurationText text = makeDocument(10);
    Fleet fleet(slots, text);
    fleet.advance(warmUp);
    fleet.isolate(left, true);
    fleet.advance(delay);
    TimePoint start = fleet.now();
    fleet.submit("change", "customers", text.section("customers") + "# changed\n");
    auto isDecided = [&fleet] { return fleet.isInForceEverywhere(2) || fleet.protocol(0).change("change").state == ChangeState::Refused; };
    while (!isDecided() && fleet.now() - start < std::chrono::seconds(20))
        fleet.advance(std::chrono::milliseconds(25));
    std::string state(changeStateName(fleet.protocol(0).change("change").state));
    std::printf("%6zu %8zu %12.1f %12s %8.2f\n", slots, left, std::chrono::duration<double>(delay).count(), state.c_str(), std::chrono::duration<double>(fleet.now() - start).count());
}

}

void printMembership(const char* path)
{
    std::FILE* tsv = path ? std::fopen(path, "w") : nullptr;
    if (tsv)
        std::fprintf(tsv, "slots\tkilobytesPerSecond\tcorePercent\n");
    std::printf("\nMembership and configuration of one entry at rest, means over all entries and %lld s on the manual clock\n", static_cast<long long>(measured.count()));
    std::printf("%6s %9s %10s %10s %12s %12s %12s %14s %12s\n", "slots", "period", "messages/s", "KB/s sent", "core, links", "core, ticks", "ratio", "KB an entry", "reads/s");
    double last = 0;
    for (std::size_t slots : { 4, 16, 32, 64, 128, 340 }) {
        ConfigurationText text = makeDocument(10);
        std::size_t memory = allocatedBytes();
        Fleet fleet(slots, text);
        fleet.advance(warmUp);
        double perEntry = static_cast<double>(allocatedBytes() - memory) / static_cast<double>(slots);
        FleetCounters before = fleet.total();
        fleet.advance(measured);
        FleetCounters after = fleet.total();
        double entrySeconds = static_cast<double>(slots * measured.count());
        double ticks = ticksPerSecond * secondsPerCall([&fleet] {
            fleet.protocol(0).admission();
            for (const std::string& name : fleet.names())
                fleet.membership(0).status(name);
        });
        double links = (after.time.seconds() - before.time.seconds()) / entrySeconds;
        std::printf("%6zu %6lldms %10.1f %10.2f %12s %12s %12.2f %14.2f %12.2f\n", slots,
            static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(timeLimitsForSlots(slots).gossipPeriod).count()),
            static_cast<double>(after.messagesSent - before.messagesSent) / entrySeconds, static_cast<double>(after.bytesSent - before.bytesSent) / entrySeconds / 1e3,
            share(links).c_str(), share(ticks).c_str(), last > 0 ? (links + ticks) / last : 1, perEntry / 1e3,
            static_cast<double>(after.tableReads - before.tableReads) / entrySeconds);
        if (tsv)
            std::fprintf(tsv, "%zu\t%.3f\t%.4f\n", slots, static_cast<double>(after.bytesSent - before.bytesSent) / entrySeconds / 1e3, 100 * (links + ticks));
        last = links + ticks;
        std::fflush(stdout);
    }
    if (tsv)
        std::fclose(tsv);
}

void printChanges()
{
    std::printf("\nOne change of the customers section until it is in force everywhere; core milliseconds of this run\n");
    std::printf("%6s %10s %9s %11s %9s %12s %13s %13s %13s %8s %8s\n", "slots", "customers", "KB", "state", "s", "KB, coord.", "KB, all", "core, coord.", "core, member", "reads", "writes");
    for (std::size_t slots : { 4, 32, 64, 128, 340 })
        printChange(slots, 130);
    for (int customers : { 10, 1300 })
        printChange(targetEntries, customers);
    printChange(4, 10);
    std::fflush(stdout);
}

void printLosses()
{
    std::printf("\nEntries that admit work after the others were lost to them for two contact leases\n%6s %8s %8s %12s %8s\n", "slots", "left", "table", "admitting", "at most");
    for (std::size_t left : { 3, 2, 1 }) {
        printLoss(4, left, true);
        printLoss(4, left, false);
    }
    for (std::size_t left : { 283, 255, 227, 200, 170, 169 }) {
        printLoss(targetEntries, left, true);
        printLoss(targetEntries, left, false);
    }
    std::printf("\nA change submitted after a loss, with the table\n%6s %8s %12s %12s %8s\n", "slots", "left", "s after loss", "state", "s");
    for (int delay : { 500, 8000 }) {
        printChangeAfterLoss(4, 3, std::chrono::milliseconds(delay));
        printChangeAfterLoss(targetEntries, 283, std::chrono::milliseconds(delay));
        printChangeAfterLoss(targetEntries, 170, std::chrono::milliseconds(delay));
    }
}

}
