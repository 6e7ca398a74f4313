#include "ColdServers/ColdShares.h"

#include "Core/ManualClock.h"
#include "Core/Random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr const char* server = "server";

Endpoint linkOf(std::size_t index)
{
    return { "10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250), 7000 };
}

// Settings with the same relations as the usual ones, for shorter simulations.
ColdSharesSettings testSettings()
{
    ColdSharesSettings settings;
    settings.overage = 1.5;
    settings.slack = 5;
    settings.peerMemory = std::chrono::seconds(24);
    settings.drainingPeerMemory = std::chrono::seconds(6);
    settings.maxIsolation = std::chrono::seconds(4);
    return settings;
}

// Decides whether an entry sends at this moment. A rule that is not that of ColdShares stands for a naive form.
struct EntryView {
    const ColdShares& shares;
    // Number of other entries from which a state arrived within 900 ms.
    std::size_t alivePeers { 0 };
    Duration sinceLastSend { 0 };
    double requestsPerSecond { 0 };
};

using SendDecision = std::function<bool(const EntryView&)>;

bool decideByShare(const EntryView& view)
{
    return view.shares.timeUntilSend(server, view.requestsPerSecond) == Duration::zero();
}

// Entries that send to one cold server whenever they may, with faults between them. Time passes in steps of 10 ms, and each
// entry's clock runs at its own rate.
class Simulation {
public:
    Simulation(std::uint64_t seed, std::size_t entries, double requestsPerSecond, ColdSharesSettings settings, SendDecision decide, Milliseconds zoneDelay = Milliseconds(0))
        : random_(seed)
        , requestsPerSecond_(requestsPerSecond)
        , settings_(settings)
        , decide_(std::move(decide))
        , zoneDelay_(zoneDelay)
        , bound_(requestsPerSecond * settings.overage + settings.slack)
    {
        for (std::size_t i = 0; i < entries; ++i)
            join();
    }

    // Returns whether the server got more than the bound in any second.
    bool run(Duration duration, bool hasFaults)
    {
        for (TimePoint end = now_ + duration; now_ < end; now_ += step) {
            if (hasFaults && random_.index(60) == 0)
                makeFault();
            deliver();
            for (std::size_t i = 0; i < entries_.size(); ++i)
                runEntry(i);
            if (!isWithinBound())
                return false;
        }
        return true;
    }

    std::uint64_t arrivals() const { return arrivals_; }

    void kill(std::size_t index) { entries_[index].isGone = true; }
    void freeze(std::size_t index, Duration duration) { entries_[index].frozenUntil = now_ + duration; }
    void isolate(std::size_t index, Duration duration)
    {
        group_.assign(entries_.size(), 0);
        group_[index] = 1;
        cutUntil_ = now_ + duration;
    }

    void join()
    {
        Entry entry;
        entry.name = "entry" + std::to_string(random_.index(1000000)) + '-' + std::to_string(entries_.size());
        entries_.push_back(std::move(entry));
        group_.push_back(0);
        start(entries_.back());
    }

private:
    static constexpr Duration step { std::chrono::milliseconds(10) };

    struct Entry {
        std::string name;
        std::unique_ptr<ManualClock> clock;
        std::unique_ptr<ColdShares> shares;
        double clockRate { 1 };
        TimePoint nextTick;
        TimePoint nextState;
        TimePoint frozenUntil;
        TimePoint sentAt;
        bool isDraining { false };
        bool wasListed { false };
        TimePoint goneAt { TimePoint::max() };
        bool isGone { false };
        std::map<std::size_t, TimePoint> heardAt;
    };

    struct Message {
        std::size_t from { 0 };
        std::size_t to { 0 };
        bool isDraining { false };
    };

    void start(Entry& entry, bool isRestart = false)
    {
        entry.wasListed = isRestart && !entry.isDraining;
        entry.clock = std::make_unique<ManualClock>();
        entry.shares = std::make_unique<ColdShares>(*entry.clock, entry.name, settings_);
        entry.shares->setZoneDelay(zoneDelay_);
        entry.clockRate = 0.98 + random_.fraction() * 0.04;
        entry.nextTick = now_;
        entry.nextState = now_ + Milliseconds(random_.index(200));
        entry.heardAt.clear();
    }

    void makeFault()
    {
        std::size_t index = random_.index(entries_.size());
        Entry& entry = entries_[index];
        switch (random_.index(8)) {
        case 0:
            freeze(index, Milliseconds(random_.index(6000)));
            break;
        case 1:
            start(entry, true);
            break;
        case 2:
            if (entries_.size() < 60)
                join();
            break;
        case 3:
            if (random_.index(2) == 0)
                kill(index);
            break;
        case 4:
            if (!entry.isDraining) {
                entry.isDraining = true;
                entry.shares->end();
                entry.goneAt = now_ + std::chrono::seconds(4);
            }
            break;
        case 5:
            for (std::size_t& group : group_)
                group = random_.index(2);
            cutUntil_ = now_ + Milliseconds(random_.index(30000));
            break;
        default:
            // A single entry is cut off.
            isolate(index, Milliseconds(random_.index(15000)));
        }
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            Message message = messages_.begin()->second;
            messages_.erase(messages_.begin());
            Entry& receiver = entries_[message.to];
            if (receiver.isGone || now_ < receiver.frozenUntil)
                continue;
            receiver.shares->recordPeer(entries_[message.from].name, linkOf(message.from), message.isDraining);
            receiver.heardAt[message.from] = now_;
        }
    }

    void runEntry(std::size_t index)
    {
        Entry& entry = entries_[index];
        entry.clock->advance(std::chrono::duration_cast<Duration>(step * entry.clockRate));
        entry.isGone = entry.isGone || now_ >= entry.goneAt;
        if (entry.isGone || now_ < entry.frozenUntil)
            return;
        // A frozen process may handle requests before its timers when it wakes.
        if (now_ >= entry.nextTick && random_.index(2) == 0) {
            // The list has the entries that were killed as well.
            std::map<std::string, Endpoint> addresses;
            for (std::size_t other = 0; other < entries_.size(); ++other) {
                if (other != index && !entries_[other].isDraining)
                    addresses[entries_[other].name] = linkOf(other);
            }
            entry.shares->tick(addresses, true, entry.wasListed);
            entry.nextTick = now_ + Milliseconds(50);
        }
        if (now_ >= entry.nextState) {
            entry.nextState = now_ + Milliseconds(200);
            for (std::size_t to = 0; to < entries_.size(); ++to) {
                bool isCut = now_ < cutUntil_ && group_[index] != group_[to];
                if (to != index && !isCut && random_.index(10) != 0)
                    messages_.emplace(now_ + Milliseconds(random_.index(10) == 0 ? random_.index(1000) : random_.index(20)), Message { index, to, entry.isDraining });
            }
        }
        auto alive = static_cast<std::size_t>(std::count_if(entry.heardAt.begin(), entry.heardAt.end(), [this](const auto& heard) { return now_ - heard.second <= Milliseconds(900); }));
        if (!decide_({ *entry.shares, alive, now_ - entry.sentAt, requestsPerSecond_ }))
            return;
        entry.shares->recordSend(server, true);
        entry.sentAt = now_;
        // On an open connection, or on a new one to another zone.
        pending_.insert(now_ + Milliseconds(random_.index(80 + 3 * static_cast<std::size_t>(zoneDelay_.count()))));
    }

    bool isWithinBound()
    {
        while (!pending_.empty() && *pending_.begin() <= now_) {
            arrived_.push_back(*pending_.begin());
            pending_.erase(pending_.begin());
            ++arrivals_;
        }
        while (!arrived_.empty() && now_ - arrived_.front() >= std::chrono::seconds(1))
            arrived_.pop_front();
        return static_cast<double>(arrived_.size()) <= bound_;
    }

    Random random_;
    double requestsPerSecond_;
    ColdSharesSettings settings_;
    SendDecision decide_;
    Milliseconds zoneDelay_;
    double bound_;
    TimePoint now_ { std::chrono::hours(1) };
    std::vector<Entry> entries_;
    std::vector<std::size_t> group_;
    TimePoint cutUntil_;
    std::multimap<TimePoint, Message> messages_;
    std::multiset<TimePoint> pending_;
    std::deque<TimePoint> arrived_;
    std::uint64_t arrivals_ { 0 };
};

constexpr Duration toIntroduce { std::chrono::seconds(12) };

}

// Guards against more requests to a cold server than it survives, whatever happens to the entries and between them.
TEST_CASE("a cold server gets no more than the bound in any second")
{
    bool holds = rc::check([] {
        auto seed = *rc::gen::arbitrary<std::uint64_t>();
        auto entries = *rc::gen::inRange<std::size_t>(1, 40);
        auto rate = *rc::gen::element(0.5, 3.0, 17.0, 40.0);
        ColdSharesSettings settings = testSettings();
        settings.slack = *rc::gen::element(0.0, 2.0, 5.0);
        auto zoneDelay = *rc::gen::element(0, 2, 40);
        Simulation simulation(seed, entries, rate, settings, decideByShare, Milliseconds(zoneDelay));
        RC_ASSERT(simulation.run(std::chrono::seconds(50), true));
    });
    CHECK(holds);
}

// Shows that the invariant above fails for the forms that are not safe, so that the simulation tests something.
TEST_CASE("naive ways to divide the rate exceed the bound")
{
    auto exceedsBound = [](const SendDecision& decide, bool hasFaults) {
        std::size_t exceeded = 0;
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
            exceeded += Simulation(seed, 15, 17, testSettings(), decide).run(std::chrono::seconds(30), hasFaults) ? 0 : 1;
        return exceeded;
    };
    SendDecision wholeRate = [](const EntryView& view) { return view.sinceLastSend >= std::chrono::duration<double>(1 / view.requestsPerSecond); };
    SendDecision byAlivePeers = [](const EntryView& view) { return view.sinceLastSend >= std::chrono::duration<double>(static_cast<double>(view.alivePeers + 1) / view.requestsPerSecond); };
    CHECK(exceedsBound(wholeRate, false) == 5);
    CHECK(exceedsBound(byAlivePeers, true) == 5);
    CHECK(exceedsBound(decideByShare, true) == 0);
}

// Guards against callers that are refused for seconds because many entries have restarted while servers are cold, and against an
// entry that takes the earlier start for its own after it was frozen.
TEST_CASE("an entry that was listed before its restart sends as soon as its earlier requests are out of the window")
{
    ManualClock clock;
    ColdShares shares(clock, "a", testSettings());
    std::map<std::string, Endpoint> addresses { { "b", linkOf('b') } };
    auto pass = [&](Milliseconds time) {
        for (Milliseconds passed { 0 }; passed < time; passed += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            shares.tick(addresses, true, true);
        }
    };
    pass(Milliseconds(1100));
    CHECK(shares.isAbstaining());
    pass(Milliseconds(100));
    CHECK(!shares.isAbstaining());
    clock.advance(std::chrono::seconds(2));
    pass(Milliseconds(2000));
    CHECK(shares.isAbstaining());
}

// Guards against times that hold for one size of a deployment only: requests between distant zones arrive closer together than
// they were sent, and in a large deployment a state reaches the last entry late.
TEST_CASE("the times of an introduction grow with the delay between zones and with the number of entries")
{
    auto introduced = [](std::size_t entries, Milliseconds zoneDelay, bool wasListed) {
        ManualClock clock;
        ColdShares shares(clock, "a", testSettings());
        shares.setZoneDelay(zoneDelay);
        std::map<std::string, Endpoint> addresses;
        for (std::size_t i = 1; i < entries; ++i)
            addresses["entry" + std::to_string(i)] = linkOf(i);
        Duration passed { 0 };
        while (shares.isAbstaining() && passed < std::chrono::minutes(2)) {
            passed += Milliseconds(50);
            clock.advance(Milliseconds(50));
            for (const auto& [name, link] : addresses)
                shares.recordPeer(name, link, false);
            shares.tick(addresses, true, wasListed);
        }
        return passed;
    };
    CHECK(introduced(4, Milliseconds(0), true) < Milliseconds(1300));
    CHECK(introduced(4, Milliseconds(50), true) >= Milliseconds(1350));
    CHECK(introduced(15, Milliseconds(0), false) > std::chrono::seconds(4));
    CHECK(introduced(15, Milliseconds(0), false) < std::chrono::seconds(5));
    CHECK(introduced(340, Milliseconds(0), false) > std::chrono::seconds(25));
    CHECK(introduced(340, Milliseconds(0), true) > std::chrono::seconds(20));
}

// Guards against an entry that is no longer listed but still sends to cold servers, uncounted by an entry that starts.
TEST_CASE("an entry whose shutdown has started abstains")
{
    ManualClock clock;
    ColdShares shares(clock, "a", testSettings());
    for (Milliseconds passed { 0 }; passed < std::chrono::seconds(5); passed += Milliseconds(50)) {
        clock.advance(Milliseconds(50));
        shares.tick({}, true, false);
    }
    CHECK(!shares.isAbstaining());
    shares.end();
    CHECK(shares.isAbstaining());
}

// Guards against shares that are safe but leave a cold server idle.
TEST_CASE("the shares of healthy entries use most of the rate")
{
    for (std::size_t entries : { 1, 4, 15, 33 }) {
        CAPTURE(entries);
        Simulation simulation(entries, entries, 17, testSettings(), decideByShare);
        REQUIRE(simulation.run(toIntroduce, false));
        std::uint64_t before = simulation.arrivals();
        REQUIRE(simulation.run(std::chrono::seconds(10), false));
        CHECK(simulation.arrivals() - before >= 140);
    }
}

// Guards against entries that send at once after their start or after they were frozen, when they know few of the others.
TEST_CASE("an entry that has started or was frozen abstains")
{
    ManualClock clock;
    ColdShares shares(clock, "a", testSettings());
    auto run = [&](Duration duration, const std::vector<std::string>& heard, const std::vector<std::string>& listed, bool isListRead) {
        std::map<std::string, Endpoint> addresses;
        for (const std::string& name : listed)
            addresses[name] = linkOf(name[0]);
        for (Duration passed { 0 }; passed < duration; passed += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            for (const std::string& name : heard)
                shares.recordPeer(name, linkOf(name[0]), false);
            shares.tick(addresses, isListRead, false);
        }
    };
    const std::vector<std::string> both { "b", "c" };
    run(std::chrono::seconds(3), both, both, true);
    CHECK(!shares.timeUntilSend(server, 17));
    run(std::chrono::seconds(1), both, both, false);
    CHECK(!shares.timeUntilSend(server, 17));
    // An entry that is listed but silent.
    run(std::chrono::seconds(1), both, { "b", "c", "d" }, true);
    CHECK(shares.knownCount() == 4);
    CHECK(!shares.timeUntilSend(server, 17));
    run(std::chrono::seconds(6), both, both, true);
    CHECK(shares.timeUntilSend(server, 17) == Duration::zero());
    shares.recordSend(server, true);
    CHECK(shares.mayFinishSend(server));
    clock.advance(std::chrono::seconds(5));
    CHECK(!shares.timeUntilSend(server, 17));
    CHECK(!shares.mayFinishSend(server));
    const std::vector<std::string> all { "b", "c", "d" };
    run(std::chrono::seconds(3), all, all, true);
    CHECK(!shares.timeUntilSend(server, 17));
    run(std::chrono::seconds(1), all, all, true);
    CHECK(shares.timeUntilSend(server, 17) == Duration::zero());
    // Cut off: the share is kept, and after a time it is no longer used.
    run(std::chrono::seconds(5), {}, {}, true);
    CHECK(shares.knownCount() == 4);
    CHECK(shares.timeUntilSend(server, 17) == Duration::zero());
    run(std::chrono::seconds(60), {}, {}, true);
    CHECK(shares.knownCount() == 4);
    CHECK(!shares.timeUntilSend(server, 17));
}

// Guards against names of entries that are gone and keep their shares for good.
TEST_CASE("an entry is forgotten when it has drained, when its address is taken, or after a long silence")
{
    ManualClock clock;
    ColdShares shares(clock, "a", testSettings());
    for (std::string name : { "b", "c", "d", "e" })
        shares.recordPeer(name, linkOf(name[0]), name == "c");
    shares.recordPeer("f", linkOf('b'), false);
    CHECK(shares.knownCount() == 5);
    auto run = [&](Duration duration) {
        for (Duration passed { 0 }; passed < duration; passed += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            for (std::string name : { "d", "f" })
                shares.recordPeer(name, linkOf(name == "f" ? 'b' : name[0]), false);
            shares.tick({ { "e", linkOf('e') } }, true, false);
        }
    };
    run(std::chrono::seconds(7));
    CHECK(shares.knownCount() == 4);
    run(std::chrono::seconds(16));
    CHECK(shares.knownCount() == 4);
    // A listed entry is not counted again before it is heard.
    run(std::chrono::seconds(2));
    CHECK(shares.knownCount() == 3);
    shares.recordPeer("e", linkOf('e'), false);
    CHECK(shares.knownCount() == 4);
}

// Guards against a request right after those that were sent while the server was thought to be warm.
TEST_CASE("the first request to a server that has become cold waits until earlier ones are out of the window")
{
    ManualClock clock;
    ColdShares shares(clock, "a", testSettings());
    for (int i = 0; i < 100; ++i) {
        clock.advance(Milliseconds(50));
        shares.tick({}, true, false);
    }
    CHECK(shares.timeUntilSend(server, 17) == Duration::zero());
    shares.recordSend(server, false);
    CHECK(shares.timeUntilSend(server, 17) == Milliseconds(1150));
    CHECK(!shares.mayFinishSend(server));
    shares.recordSend(server, true);
    CHECK(shares.timeUntilSend(server, 17).value() < Milliseconds(60));
    CHECK(shares.timeUntilSend("other", 17) == Duration::zero());
}

// Guards against a pace that leaves no room for a sender, and against a request where the bound allows none.
TEST_CASE("a bound that is barely above the rate has one sender with a lower pace")
{
    ManualClock clock;
    ColdSharesSettings settings = testSettings();
    settings.overage = 1;
    settings.slack = 0;
    ColdShares shares(clock, "a", settings);
    for (int i = 0; i < 100; ++i) {
        clock.advance(Milliseconds(50));
        shares.tick({}, true, false);
    }
    shares.recordSend(server, true);
    CHECK(shares.timeUntilSend(server, 1).value() > std::chrono::seconds(1));
    CHECK(shares.timeUntilSend(server, 17).value() > Milliseconds(60));
    CHECK(!shares.timeUntilSend(server, 0.9));
}

}
