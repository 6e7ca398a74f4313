#include "Calls/ClaimStore.h"
#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "MapSwitch/MapController.h"
#include "Platform/MemoryTable.h"
#include "Sections.h"
#include "Timeline/EventRecorder.h"

#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tableDelay { 10 };
constexpr std::chrono::seconds measurementTime { 30 };
constexpr std::chrono::seconds warmUp { 5 };
constexpr std::chrono::milliseconds bookingTime { 30 };
constexpr double headPollsPerSecond = 1;
constexpr double timelineSeconds = 10;
// The commit and the record that the version is in force. See the counts that printConfigurationChanges prints.
constexpr double writesPerChange = 2;
constexpr double readsPerChange = 20;

// An in-memory table on a manual clock that responds after a fixed delay and counts its operations.
class CountingTable : public Table {
public:
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        ++reads;
        schedule(tableDelay, [this, keys, done] { done(rows_.read(keys)); });
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        ++reads;
        schedule(tableDelay, [this, prefix, done] { done(rows_.scan(prefix)); });
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        ++this->writes;
        schedule(tableDelay, [this, writes, done] { done(rows_.write(writes)); });
    }

    void schedule(Duration delay, std::function<void()> task) { scheduledTasks_.emplace(clock.now() + delay, std::move(task)); }

    void advance(Duration duration)
    {
        TimePoint end = clock.now() + duration;
        while (!scheduledTasks_.empty() && scheduledTasks_.begin()->first <= end) {
            auto first = scheduledTasks_.begin();
            std::function<void()> task = std::move(first->second);
            clock.advance(first->first - clock.now());
            scheduledTasks_.erase(first);
            task();
        }
        clock.advance(end - clock.now());
    }

    ManualClock clock;
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };

private:
    MemoryTable rows_;
    std::multimap<TimePoint, std::function<void()>> scheduledTasks_;
};

struct TableRates {
    double reads { 0 };
    double writes { 0 };
};

struct LeaseResult {
    TableRates rates;
    // Writes in the first 5 s, in which all controllers compete for the lease.
    std::uint64_t writesAtStart { 0 };
};

TableRates ratesOf(const CountingTable& table)
{
    double seconds = static_cast<double>(measurementTime.count());
    return { static_cast<double>(table.reads) / seconds, static_cast<double>(table.writes) / seconds };
}

// Returns the table operations per second for claims. As in CallDriver, each booking reads its row, writes the claim
// and, after the call has ended, writes the result.
TableRates claimRates(double bookingsPerSecond, std::size_t writers)
{
    CountingTable table;
    Random random(1);
    std::vector<std::unique_ptr<ClaimStore>> stores;
    for (std::size_t index = 0; index < writers; ++index)
        stores.push_back(std::make_unique<ClaimStore>(table));
    double arrivalSeconds = 0;
    for (int number = 0; arrivalSeconds < static_cast<double>(measurementTime.count()); ++number) {
        arrivalSeconds -= std::log(1 - random.fraction()) / bookingsPerSecond;
        ClaimStore* store = stores[random.index(writers)].get();
        std::string row = "claim/" + std::to_string(number);
        ClaimRecord record;
        record.owner = "call-" + std::to_string(number);
        table.schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrivalSeconds)), [&table, store, row, record] {
            store->read(row, [&table, store, row, record](const ClaimResult&) {
                store->write(row, std::nullopt, record, [&table, store, row, record](const ClaimResult&) {
                    ClaimRecord finished = record;
                    finished.state = ClaimState::Done;
                    table.schedule(bookingTime, [store, row, record, finished] { store->write(row, record, finished, [](const ClaimResult&) {}); });
                });
            });
        });
    }
    table.advance(measurementTime);
    return ratesOf(table);
}

// Returns the table operations per second of the controllers that compete for the lease of one group.
LeaseResult leaseRates(int controllers)
{
    CountingTable table;
    Random random(1);
    std::vector<std::unique_ptr<MapController>> mapControllers;
    for (int number = 0; number < controllers; ++number) {
        MapControllerSettings settings;
        settings.name = "entry-" + std::to_string(number);
        settings.group = "group";
        settings.members = { "agent" };
        mapControllers.push_back(std::make_unique<MapController>(settings, table.clock, table, random, [](const std::string&, const MapOrderMessage&) {}));
    }
    auto runFor = [&table, &mapControllers](std::chrono::milliseconds length) {
        for (std::chrono::milliseconds time { 0 }; time < length; time += std::chrono::milliseconds(50)) {
            for (const std::unique_ptr<MapController>& controller : mapControllers)
                controller->tick();
            table.advance(std::chrono::milliseconds(50));
        }
    };
    runFor(warmUp);
    std::uint64_t writesAtStart = table.writes;
    table.reads = 0;
    table.writes = 0;
    runFor(measurementTime);
    return { ratesOf(table), writesAtStart };
}

// Returns the number of objects that one process writes in 100 s while it records ten events per second.
int timelineObjects()
{
    ManualClock clock;
    HybridClock hybridClock(clock);
    EventRecorder recorder(hybridClock, EventRecorderOptions());
    int objects = 0;
    for (int step = 0; step < 1000; ++step) {
        clock.advance(std::chrono::milliseconds(100));
        recorder.record(EventKind::InstanceSuspected, "entry", "");
        if (!recorder.takeBatch(clock.now()))
            continue;
        ++objects;
        recorder.finishWrite(ResultCode::Ok);
    }
    return objects;
}

void printRow(const char* name, const TableRates& rates)
{
    std::printf("%-58s %10.2f %10.2f\n", name, rates.reads, rates.writes);
}

}

void printTableOperations()
{
    std::printf("\nTable operations for the lease of one group with MapController, %lld s\n%12s %10s %10s %16s\n", static_cast<long long>(measurementTime.count()), "controllers", "reads/s", "writes/s", "writes, first 5 s");
    std::map<int, TableRates> leases;
    for (int controllers : { 1, 4, 16, 64 }) {
        LeaseResult result = leaseRates(controllers);
        leases[controllers] = result.rates;
        std::printf("%12d %10.2f %10.2f %16llu\n", controllers, result.rates.reads, result.rates.writes, static_cast<unsigned long long>(result.writesAtStart));
    }
    double readsPerObserver = (leases[64].reads - leases[4].reads) / 60;
    std::printf("\nClaims at 11,000 calls/s with a transaction time of 10 ms\n%10s %12s %8s %10s %10s %16s\n", "bookings", "bookings/s", "writers", "reads/s", "writes/s", "writes a booking");
    std::map<double, TableRates> claims;
    for (double percent : { 0.1, 1.0, 5.0 }) {
        for (std::size_t writers : { 340, 32, 4 }) {
            double bookings = targetCallsPerSecond * percent / 100;
            TableRates rates = claimRates(bookings, writers);
            if (writers == static_cast<std::size_t>(targetEntries))
                claims[percent] = rates;
            std::printf("%9.1f%% %12.0f %8zu %10.1f %10.1f %16.2f\n", percent, bookings, writers, rates.reads, rates.writes, rates.writes / bookings);
        }
    }
    int objects = timelineObjects();
    double timeline = (targetEntries + targetAgents) * objects / 100.0;
    std::printf("\nOperations per second at R25 (several hundred writes, about 2,000 reads)\n%-58s %10s %10s\n", "", "reads/s", "writes/s");
    printRow("head row polls, 340 entries", { targetEntries * headPollsPerSecond, 0 });
    printRow("configuration changes, 1,900 a day", { readsPerChange * targetChangesPerSecond, writesPerChange * targetChangesPerSecond });
    printRow("claims, 0.1% bookings", claims[0.1]);
    printRow("claims, 1% bookings", claims[1.0]);
    printRow("claims, 5% bookings", claims[5.0]);
    printRow("leases of 75 groups, 4 controllers each", { targetGroups * leases[4].reads, targetGroups * leases[4].writes });
    printRow("leases of 75 groups, a controller at each of 340 entries", { targetGroups * (leases[4].reads + readsPerObserver * (targetEntries - 4)), targetGroups * leases[4].writes });
    printRow("timeline objects, 940 processes, at most", { 0, timeline });
    std::printf("One process that records events continuously wrote %d timeline objects in %.0f s.\n", objects, 10 * timelineSeconds);
}

}
