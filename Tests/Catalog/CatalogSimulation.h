#pragma once

#include "Catalog/CatalogFollower.h"
#include "Core/ManualClock.h"
#include "Core/Random.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

// A store that contains the catalog of the operator, and the network to it, in simulated time.
class SimulatedCatalogStore {
public:
    explicit SimulatedCatalogStore(const Clock& clock)
        : clock_(clock)
    {
    }

    // Writes the next version of the catalog and returns its number. The write is acknowledged at once.
    std::uint64_t write();

    // Another client writes to another table. All tables share the counter of revisions.
    void writeOther() { ++content_.revision; }

    // Returns to the state of some time ago, with a new generation. What was written since is lost. Calls that wait for a
    // change go on waiting.
    void restore(std::chrono::milliseconds age);

    // The operator writes the newest version that was acknowledged again.
    void writeAgain();

    // While the store is silent, calls that reach it and answers that it owes are lost.
    void setSilent(bool isSilent);

    void read(std::size_t entry, CatalogSource::Done done);
    void awaitChange(std::size_t entry, std::uint64_t revision, std::chrono::milliseconds wait, CatalogSource::Done done);

    // Delivers what is due.
    void tick();

    // The newest version that was acknowledged.
    std::uint64_t version() const { return version_; }
    std::uint64_t catalogInStore() const { return content_.version; }
    std::uint64_t calls() const { return calls_; }
    // Number of calls for changes since a revision that the store does not have.
    std::uint64_t refusedPositions() const { return refusedPositions_; }
    CatalogVersion catalog(std::uint64_t version) const;

    // Entries whose calls and answers are lost.
    std::set<std::size_t> cutEntries;
    std::chrono::milliseconds latency { 2 };
    // Without generations, as in a store that does not state them, the others are used as usual.
    bool statesGeneration { true };
    // After this time, in addition to the time that the store may take, a call fails.
    std::chrono::milliseconds callTimeout { 900 };

private:
    // The catalog and the revisions at one time.
    struct Content {
        std::uint64_t version { 0 };
        // Revision of the last write of the catalog.
        std::uint64_t catalogRevision { 0 };
        std::uint64_t revision { 0 };
    };

    struct Watch {
        std::size_t entry { 0 };
        std::uint64_t revision { 0 };
        TimePoint until;
        std::shared_ptr<CatalogSource::Done> done;
    };

    void at(TimePoint time, std::function<void()> action) { events_.emplace(time, std::move(action)); }
    // Fails the call after the time-out unless it has been answered by then.
    void failAfter(std::chrono::milliseconds timeout, const std::shared_ptr<CatalogSource::Done>& done);
    void put(std::uint64_t version);
    void answer(std::size_t entry, const std::shared_ptr<CatalogSource::Done>& done, bool withCatalog);
    void respond(std::size_t entry, const std::shared_ptr<CatalogSource::Done>& done, const CatalogReadResult& result);
    bool isReachable(std::size_t entry) const { return !isSilent_ && cutEntries.count(entry) == 0; }

    const Clock& clock_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<Watch> watches_;
    std::uint64_t version_ { 0 };
    Content content_;
    std::map<TimePoint, Content> history_;
    StoreGeneration generation_ { 1 };
    std::uint64_t calls_ { 0 };
    std::uint64_t refusedPositions_ { 0 };
    bool isSilent_ { false };
};

// Entries that follow the catalog of one store and exchange their states.
class CatalogSimulation {
public:
    // How the state of an entry reaches a peer: at most maxPeers randomly selected peers in each period.
    static constexpr std::chrono::milliseconds statePeriod { 200 };
    static constexpr std::size_t maxPeers = 24;

    explicit CatalogSimulation(std::size_t entryCount, std::uint64_t seed = 1);

    // Lets the time pass in steps and checks after each that all entries that are in touch have the versions in force that
    // were acknowledged longer ago than the bound.
    void run(std::chrono::milliseconds duration);

    std::uint64_t write();

    // A paused entry does nothing, and what it is sent waits.
    void setPaused(std::size_t entry, bool isPaused);

    // Replaces an entry by a new start, which knows nothing.
    void restart(std::size_t entry) { entries_[entry] = std::make_unique<Entry>(*this, entry); }

    // Returns when which entry was first late, or an empty text.
    std::string firstViolation() const { return violations_.empty() ? "" : violations_.front(); }

    std::uint64_t versionOf(std::size_t entry) const { return entries_[entry]->holder.version(); }

    // Entries to which the bound does not apply, for example because they are paused.
    std::set<std::size_t> excused;
    // Pairs of entries between which no state passes.
    std::set<std::pair<std::size_t, std::size_t>> cutLinks;
    std::chrono::milliseconds stateLatency { 1 };

private:
    // The source of one entry.
    struct Source : CatalogSource {
        Source(SimulatedCatalogStore& usedStore, std::size_t usedEntry)
            : store(usedStore)
            , entry(usedEntry)
        {
        }

        ~Source() override { *isAlive = false; }

        void read(Done done) override { store.read(entry, whileAlive(std::move(done))); }
        void awaitChange(std::uint64_t revision, std::chrono::milliseconds timeout, Done done) override { store.awaitChange(entry, revision, timeout, whileAlive(std::move(done))); }
        CatalogVersion decode(const std::string&) const override { return {}; }

        Done whileAlive(Done done) const
        {
            return [isAlive = isAlive, done = std::move(done)](const CatalogReadResult& result) {
                if (*isAlive)
                    done(result);
            };
        }

        SimulatedCatalogStore& store;
        std::size_t entry;
        std::shared_ptr<bool> isAlive { std::make_shared<bool>(true) };
    };

    struct Entry {
        Entry(CatalogSimulation& simulation, std::size_t index);

        CatalogHolder holder;
        Random random;
        Source source;
        CatalogFollower follower;
        // The last state of each peer and when it arrived.
        std::map<std::size_t, std::pair<CatalogKnowledge, TimePoint>> peers;
        TimePoint nextState;
        bool isPaused { false };
        std::vector<std::function<void()>> waiting;
    };

    // What an entry tells its peers.
    struct State {
        std::size_t sender { 0 };
        CatalogKnowledge catalog;
    };

    bool isWatchedByPeer(std::size_t index) const;
    void sendState(std::size_t sender);
    void receiveState(std::size_t receiver, const State& state);
    void deliver(std::size_t receiver, std::function<void()> message);
    void check();

    ManualClock clock_;
    Random random_;
    std::multimap<TimePoint, std::function<void()>> messages_;
    std::vector<std::unique_ptr<Entry>> entries_;
    // When each version was acknowledged.
    std::map<std::uint64_t, TimePoint> acknowledgedAt_;
    std::vector<std::string> violations_;

public:
    SimulatedCatalogStore store { clock_ };
};

}
