#include "Forwarding/ServerSelector.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::size_t entryCount = 17;
constexpr std::size_t serverCount = 72;
constexpr std::uint32_t slots = 10;

constexpr std::size_t zoneCount = 4;

// An entry with its local view of the requests in flight.
struct SimulatedEntry {
    SimulatedEntry(const ManualClock& clock, const FleetView& fleet, std::uint64_t seed, const std::string& zone)
        : loads(clock, std::chrono::seconds(2))
        , outliers(clock, OutlierSettings())
        , rateLimits(clock, zone, {}, nullptr)
        , random(seed)

        , selector(clock, fleet, loads, outliers, rateLimits, random, settingsOf(zone))
    {
    }

    static ServerSelectorSettings settingsOf(const std::string& zone)
    {
        ServerSelectorSettings settings;
        settings.localZone = zone;
        return settings;
    }

    InFlightTracker loads;
    OutlierDetector outliers;
    ServerRateLimits rateLimits;
    Random random;
    ServerSelector selector;
};

// Simulates entries that send requests to the same servers and exchange their counts every 200 ms.
class EntriesSimulation {
public:
    EntriesSimulation()
    {
        FleetSnapshot snapshot;
        snapshot.position.revision = 1;
        for (std::size_t i = 0; i < serverCount; ++i) {
            ServerRecord server;
            server.id = "s" + std::to_string(i);
            server.service = "app";
            server.availabilityZone = "z" + std::to_string(i % zoneCount);
            server.slots = slots;
            snapshot.servers.push_back(server);
        }
        fleet_.apply(snapshot, clock_.now());
        for (std::size_t i = 0; i < entryCount; ++i)
            entries_.push_back(std::make_unique<SimulatedEntry>(clock_, fleet_, i + 1, "z" + std::to_string(i % zoneCount)));
    }

    void setEntryCount(std::size_t count)
    {
        for (const std::unique_ptr<SimulatedEntry>& entry : entries_)
            entry->selector.setEntryCount(count, (count + zoneCount - 1) / zoneCount);
    }

    // Sends 260 requests per second that take 1.9 s each, which occupies 70% of the slots. Returns the share of the
    // requests that were sent to a server without a free slot.
    double run(std::chrono::milliseconds time)
    {
        std::size_t sent = 0;
        std::size_t queued = 0;
        for (std::chrono::milliseconds now { 0 }; now < time; now += step) {
            clock_.advance(step);
            while (!running_.empty() && running_.front().endsAt <= clock_.now()) {
                entries_[running_.front().entry]->loads.finished(running_.front().server);
                --inFlight_[running_.front().server];
                running_.pop_front();
            }
            if (now % std::chrono::milliseconds(200) == std::chrono::milliseconds(0))
                exchangeCounts();
            std::size_t entry = random_.index(entryCount);
            ServerSelection selection = entries_[entry]->selector.select("app", {}, true);
            if (selection.kind != SelectionKind::Server)
                continue;
            ++sent;
            queued += inFlight_[selection.server->id]++ >= slots ? 1 : 0;
            entries_[entry]->loads.started(selection.server->id);
            running_.push_back({ clock_.now() + std::chrono::milliseconds(1900), entry, selection.server->id });
        }
        return static_cast<double>(queued) / static_cast<double>(sent);
    }

private:
    struct Running {
        TimePoint endsAt;
        std::size_t entry { 0 };
        std::string server;
    };

    static constexpr std::chrono::milliseconds step { 4 };

    void exchangeCounts()
    {
        for (std::size_t from = 0; from < entryCount; ++from) {
            for (std::size_t to = 0; to < entryCount; ++to) {
                if (from != to)
                    entries_[to]->loads.setPeerCounts(std::to_string(from), entries_[from]->loads.localCounts());
            }
        }
    }

    ManualClock clock_;
    FleetView fleet_ { clock_, {}, [](const ServerRecord&) {} };
    Random random_ { 5 };
    std::vector<std::unique_ptr<SimulatedEntry>> entries_;
    std::deque<Running> running_;
    std::map<std::string, std::uint32_t> inFlight_;
};

}

// Guards against entries that all send to the same server, which was the least loaded one at the last exchange of
// counts.
TEST_CASE("many entries with outdated counts of each other rarely send to a full server")
{
    EntriesSimulation unsampled;
    unsampled.setEntryCount(1);
    double unsampledQueuedShare = unsampled.run(std::chrono::seconds(20));
    EntriesSimulation sampled;
    sampled.setEntryCount(entryCount);
    double sampledQueuedShare = sampled.run(std::chrono::seconds(20));
    // The target allows five in 100 requests to be late.
    CHECK(sampledQueuedShare < 0.05);
    CHECK(sampledQueuedShare < unsampledQueuedShare);
}

namespace {

// One entry and two servers with four slots each.
struct PauseFixture {
    PauseFixture()
        : entry(clock, fleet, 1, "z")
    {
        list(1);
    }

    void list(std::int64_t startedAt)
    {
        FleetSnapshot snapshot;
        snapshot.position.revision = static_cast<std::uint64_t>(startedAt);
        for (const char* id : { "a", "b" }) {
            ServerRecord server;
            server.id = id;
            server.service = "app";
            server.slots = 4;
            server.startedAt = startedAt;
            snapshot.servers.push_back(server);
        }
        fleet.apply(snapshot, clock.now());
    }

    void pause(const char* id, std::chrono::milliseconds duration) { entry.selector.pause(*fleet.find(id), duration); }

    // Returns how many of 40 selections select the server.
    int selections(std::string_view id)
    {
        int count = 0;
        for (int i = 0; i < 40; ++i) {
            ServerSelection selection = entry.selector.select("app", {}, false);
            count += selection.server && selection.server->id == id ? 1 : 0;
        }
        return count;
    }

    ManualClock clock;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    SimulatedEntry entry;
};

}

// Guards against requests to a server during a pause that it has asked for, also after its successes or an outage.
TEST_CASE("a server gets nothing during a pause, and a later pause replaces it")
{
    PauseFixture fixture;
    fixture.pause("a", std::chrono::milliseconds(3000));
    for (int i = 0; i < 29; ++i) {
        CHECK(fixture.selections("a") == 0);
        fixture.entry.selector.recordSuccess("a");
        fixture.entry.selector.recordProgress("app", "a");
        fixture.clock.advance(std::chrono::milliseconds(100));
    }
    CHECK(fixture.selections("b") == 40);
    fixture.clock.advance(std::chrono::milliseconds(2000));
    CHECK(fixture.selections("a") > 0);
    fixture.pause("a", std::chrono::milliseconds(9000));
    fixture.pause("a", std::chrono::milliseconds(500));
    CHECK(fixture.selections("a") == 0);
    fixture.clock.advance(std::chrono::milliseconds(500));
    CHECK(fixture.selections("a") > 0);
}

// Guards against requests that wait for nothing, and against a new start that is taken for the server that asked for a pause.
TEST_CASE("the time until the first of the paused servers is stated, and a restarted server is not paused")
{
    PauseFixture fixture;
    fixture.pause("a", std::chrono::milliseconds(3000));
    fixture.pause("b", std::chrono::milliseconds(5000));
    ServerSelection selection = fixture.entry.selector.select("app", {}, true);
    CHECK(selection.kind == SelectionKind::RateLimited);
    CHECK(selection.isPause);
    CHECK(selection.retryAfter == std::chrono::milliseconds(3000));
    fixture.list(2);
    CHECK(fixture.entry.selector.select("app", {}, true).kind == SelectionKind::Server);
}

// Guards against all requests that have waited for the end of a pause arriving at its first moment.
TEST_CASE("the requests in flight at a server rise gradually after a pause")
{
    PauseFixture fixture;
    fixture.pause("a", std::chrono::milliseconds(1000));
    fixture.pause("b", std::chrono::milliseconds(60000));
    fixture.clock.advance(std::chrono::milliseconds(1000));
    int inFlight = 0;
    auto fill = [&] {
        while (fixture.entry.selector.select("app", {}, false).server) {
            fixture.entry.loads.started("a");
            ++inFlight;
        }
        return inFlight;
    };
    CHECK(fill() == 1);
    fixture.clock.advance(std::chrono::milliseconds(500));
    CHECK(fill() == 2);
    fixture.clock.advance(std::chrono::milliseconds(500));
    CHECK(fill() == 4);
}

// Guards against bytes between zones that no caller has an advantage from, and against a zone that is full while others
// are free.
TEST_CASE("a server of the local zone is selected unless one of another zone has over a request less in flight")
{
    ManualClock clock;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    FleetSnapshot snapshot;
    snapshot.position.revision = 1;
    for (int i = 0; i < 40; ++i) {
        ServerRecord server;
        server.id = "s" + std::to_string(i);
        server.service = "app";
        server.availabilityZone = "z" + std::to_string(i % 4);
        server.slots = 6;
        snapshot.servers.push_back(server);
    }
    fleet.apply(snapshot, clock.now());
    SimulatedEntry entry(clock, fleet, 1, "z0");
    entry.selector.setEntryCount(8, 2);
    auto localShare = [&] {
        int local = 0;
        for (int i = 0; i < 200; ++i) {
            ServerSelection selection = entry.selector.select("app", {}, false);
            REQUIRE(selection.server);
            local += selection.server->availabilityZone == "z0" ? 1 : 0;
        }
        return local / 200.0;
    };
    auto setLoads = [&](std::uint32_t local, std::uint32_t remote) {
        InFlightCounts counts;
        for (const ServerRecord& server : snapshot.servers)
            counts[server.id] = server.availabilityZone == "z0" ? local : remote;
        entry.loads.setPeerCounts("peer", counts);
    };
    CHECK(localShare() == 1);
    setLoads(3, 3);
    CHECK(localShare() == 1);
    setLoads(5, 3);
    CHECK(localShare() == 0);
    setLoads(6, 5);
    CHECK(localShare() == 0);
}

}
