#include "Forwarding/ServerRateLimits.h"

#include "Core/ManualClock.h"
#include "Core/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds stepTime { 10 };
constexpr milliseconds statePeriod { 200 };
constexpr milliseconds messageTime { 5 };
constexpr milliseconds responseTime { 150 };
constexpr milliseconds contactTime { 3000 };
constexpr milliseconds windowTime { 4000 };
constexpr std::size_t maxPeersPerPeriod { 24 };
constexpr const char* server = "s";

// The target: requests that all entries together may send to a server with this limit in any window.
double allowedInWindow(double perSecond)
{
    return 1.5 * std::chrono::duration<double>(windowTime).count() * perSecond + 5;
}

// Entries that each send a request to one server whenever they may, and exchange their reports as the gateways do.
class RateLimitSimulation {
public:
    RateLimitSimulation(std::size_t entryCount, std::uint64_t seed)
        : random_(seed)
        , entries_(entryCount)
    {
        for (std::size_t i = 0; i < entryCount; ++i) {
            start(i);
            entries_[i].phase = stepTime * random_.index(statePeriod / stepTime);
            entries_[i].startedAt = TimePoint::min();
        }
    }

    void restart(std::size_t entry)
    {
        start(entry);
        entries_[entry].startedAt = clock.now();
    }

    void setReachable(std::size_t entry, bool isReachable) { entries_[entry].isReachable = isReachable; }

    void run(milliseconds time)
    {
        for (milliseconds passed { 0 }; passed < time; passed += stepTime)
            step();
    }

    // Returns the most requests in any window since this time. Requests of an entry that has just restarted do not count.
    std::size_t maxInWindow(TimePoint since) const
    {
        std::size_t most = 0;
        for (auto first = sends_.begin(); first != sends_.end(); ++first) {
            auto end = std::find_if(first, sends_.end(), [&](TimePoint sentAt) { return sentAt > *first + windowTime; });
            if (*first >= since)
                most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    std::size_t sendsSince(TimePoint since) const
    {
        return static_cast<std::size_t>(std::count_if(sends_.begin(), sends_.end(), [since](TimePoint sentAt) { return sentAt >= since; }));
    }

    ManualClock clock;
    std::optional<double> statedLimit;

private:
    struct Entry {
        std::unique_ptr<ServerRateLimits> limits;
        bool isReachable { true };
        bool hasNews { false };
        Duration phase { 0 };
        TimePoint startedAt;
    };

    struct Response {
        TimePoint arrivesAt;
        TimePoint sentAt;
        std::size_t entry { 0 };
        std::optional<double> limit;
    };

    struct Message {
        TimePoint arrivesAt;
        std::size_t to { 0 };
        std::vector<RateLimitReport> reports;
    };

    void start(std::size_t entry)
    {
        entries_[entry].limits = std::make_unique<ServerRateLimits>(clock, "entry " + std::to_string(entry), ServerRateLimitsSettings(),
            [this, entry](const std::string&, double, bool isLocal) { entries_[entry].hasNews = entries_[entry].hasNews || isLocal; });
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (i != entry)
                peers.push_back("entry " + std::to_string(i));
        }
        entries_[entry].limits->setPeers(peers);
    }

    void step()
    {
        clock.advance(stepTime);
        TimePoint now = clock.now();
        for (; !messages_.empty() && messages_.front().arrivesAt <= now; messages_.pop_front())
            entries_[messages_.front().to].limits->applyReports(messages_.front().reports);
        for (; !responses_.empty() && responses_.front().arrivesAt <= now; responses_.pop_front())
            entries_[responses_.front().entry].limits->recordResponse(server, responses_.front().limit, responses_.front().sentAt);
        std::size_t first = random_.index(entries_.size());
        for (std::size_t i = 0; i < entries_.size(); ++i)
            sendIfAllowed((first + i) % entries_.size());
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if ((now.time_since_epoch() + entries_[i].phase) % statePeriod < stepTime || entries_[i].hasNews)
                sendState(i);
            entries_[i].hasNews = false;
        }
    }

    void sendIfAllowed(std::size_t index)
    {
        Entry& entry = entries_[index];
        std::optional<Duration> wait = entry.limits->timeUntilSend(server);
        if (!wait || *wait > Duration::zero())
            return;
        entry.limits->recordSend(server);
        responses_.push_back({ clock.now() + responseTime, clock.now(), index, statedLimit });
        if (entry.startedAt == TimePoint::min() || clock.now() - entry.startedAt > contactTime)
            sends_.push_back(clock.now());
    }

    void sendState(std::size_t index)
    {
        std::vector<RateLimitReport> reports = entries_[index].limits->nextReports();
        if (reports.empty() || !entries_[index].isReachable)
            return;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            bool isChosen = entries_.size() <= maxPeersPerPeriod || random_.index(entries_.size()) < maxPeersPerPeriod;
            if (i != index && entries_[i].isReachable && isChosen)
                messages_.push_back({ clock.now() + messageTime, i, reports });
        }
    }

    Random random_;
    std::vector<Entry> entries_;
    std::deque<Message> messages_;
    std::deque<Response> responses_;
    std::vector<TimePoint> sends_;
};

}

// Guards against entries whose shares of a limit add up to more than the limit.
TEST_CASE("all entries together keep to the limit that a server states, and use it")
{
    for (std::size_t entryCount : { 1U, 4U, 17U, 100U }) {
        for (double limit : { 0.4, 1.9, 2.8, 12.5 }) {
            CAPTURE(entryCount);
            CAPTURE(limit);
            RateLimitSimulation simulation(entryCount, entryCount + 1);
            simulation.run(seconds(1));
            simulation.statedLimit = limit;
            TimePoint statedAt = simulation.clock.now();
            simulation.run(seconds(23));
            CHECK(static_cast<double>(simulation.maxInWindow(statedAt + contactTime)) <= allowedInWindow(limit));
            CHECK(static_cast<double>(simulation.sendsSince(statedAt + contactTime)) >= 0.7 * limit * 20 - 1);
        }
    }
}

// Guards against restarted entries, and entries that are cut off, which take more than their share.
TEST_CASE("a limit holds while entries restart and are cut off from the others")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        RateLimitSimulation simulation(5, seed);
        simulation.statedLimit = 2.2;
        TimePoint statedAt = simulation.clock.now();
        simulation.run(seconds(5));
        simulation.setReachable(seed % 5, false);
        simulation.run(seconds(3));
        simulation.restart((seed + 1) % 5);
        simulation.run(seconds(3));
        simulation.restart((seed + 2) % 5);
        simulation.run(seconds(2));
        simulation.setReachable(seed % 5, true);
        simulation.run(seconds(8));
        CHECK(static_cast<double>(simulation.maxInWindow(statedAt + contactTime)) <= allowedInWindow(2.2));
    }
}

// Guards against a server that stays limited after its need has ended, or whose changed limit is not noticed.
TEST_CASE("a limit follows what the server states and ends at all entries when it states none")
{
    RateLimitSimulation simulation(4, 7);
    simulation.statedLimit = 10;
    simulation.run(seconds(4));
    simulation.statedLimit = 2;
    TimePoint changedAt = simulation.clock.now();
    simulation.run(seconds(12));
    CHECK(static_cast<double>(simulation.maxInWindow(changedAt + contactTime)) <= allowedInWindow(2));
    simulation.statedLimit.reset();
    simulation.run(seconds(3));
    TimePoint endedAt = simulation.clock.now();
    simulation.run(seconds(1));
    // Each of the four entries sends in each step.
    CHECK(simulation.sendsSince(endedAt) >= 390);
}

// Guards against a limit that ends because a response from before it arrives late.
TEST_CASE("a response to an earlier request does not end a limit")
{
    ManualClock clock;
    ServerRateLimits limits(clock, "a", {}, nullptr);
    TimePoint sentAt = clock.now();
    clock.advance(seconds(1));
    limits.recordResponse(server, 2.0, clock.now());
    limits.recordResponse(server, std::nullopt, sentAt);
    CHECK(limits.limitCount() == 1);
    clock.advance(seconds(1));
    limits.recordResponse(server, std::nullopt, clock.now());
    CHECK(limits.limitCount() == 0);
}

// Guards against two entries that send at once when one takes the place of the other.
TEST_CASE("an entry that begins to send to a limited server waits as if another had just sent")
{
    ManualClock clock;
    constexpr int peerCount = 50;
    std::vector<std::string> peers;
    peers.reserve(peerCount);
    for (int i = 0; i < peerCount; ++i)
        peers.push_back("peer " + std::to_string(i));
    // With this many entries some of them are no senders.
    int newSenders = 0;
    for (int i = 0; i < 20; ++i) {
        ServerRateLimits limits(clock, "entry " + std::to_string(i), {}, nullptr);
        limits.setPeers(peers);
        limits.recordResponse(server, 1.0, clock.now());
        clock.advance(seconds(10));
        if (limits.timeUntilSend(server))
            continue;
        ++newSenders;
        limits.setPeers({});
        CHECK(limits.timeUntilSend(server) == seconds(1));
    }
    CHECK(newSenders > 10);
}

// Guards against an old report that brings back a limit which has ended or changed.
TEST_CASE("a report is ignored if a newer one is known")
{
    ManualClock clock;
    ServerRateLimits limits(clock, "a", {}, nullptr);
    limits.applyReports(std::vector<RateLimitReport> { { server, 5, 0, milliseconds(0) } });
    limits.applyReports(std::vector<RateLimitReport> { { server, 4, 2.0, milliseconds(0) } });
    CHECK(limits.limitCount() == 0);
    limits.applyReports(std::vector<RateLimitReport> { { server, 6, 2.0, milliseconds(0) } });
    CHECK(limits.limitCount() == 1);
}

// Guards against a limit that is kept for ever although no response confirms it, and against one that is too short-lived
// for a server that takes a request only now and then.
TEST_CASE("a limit without confirmation is forgotten after a time that suits it")
{
    for (double perSecond : { 2.0, 0.0 }) {
        ManualClock clock;
        ServerRateLimits limits(clock, "a", {}, nullptr);
        limits.recordResponse(server, perSecond, clock.now());
        clock.advance(seconds(29));
        limits.nextReports();
        CHECK(limits.limitCount() == 1);
        clock.advance(seconds(2));
        limits.nextReports();
        CHECK(limits.limitCount() == (perSecond > 0 ? 0 : 1));
    }
}

// Guards against limits of many servers that make the messages between entries large.
TEST_CASE("a message reports a bounded number of limits, and all of them in turn")
{
    ManualClock clock;
    ServerRateLimitsSettings settings;
    ServerRateLimits sender(clock, "a", settings, nullptr);
    ServerRateLimits receiver(clock, "b", settings, nullptr);
    for (int i = 0; i < 150; ++i)
        sender.recordResponse("s" + std::to_string(i), 2.0, clock.now());
    for (int i = 0; i < 100; ++i) {
        std::vector<RateLimitReport> reports = sender.nextReports();
        CHECK(reports.size() <= settings.maxNewsPerReport + settings.maxOthersPerReport);
        receiver.applyReports(reports);
        clock.advance(milliseconds(200));
    }
    CHECK(receiver.limitCount() == 150);
}

}
