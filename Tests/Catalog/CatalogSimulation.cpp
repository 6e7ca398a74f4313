#include "CatalogSimulation.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step { 10 };
constexpr int stepsPerTick = 5;
// An acknowledged version has to be in force within this time.
constexpr milliseconds applyBound { 2000 };
constexpr std::size_t maxViolations = 5;
// A peer whose last state is older is suspected.
constexpr milliseconds suspectAfter { 900 };

}

std::uint64_t SimulatedCatalogStore::write()
{
    put(++version_);
    return version_;
}

void SimulatedCatalogStore::put(std::uint64_t version)
{
    ++content_.revision;
    content_.version = version;
    content_.catalogRevision = content_.revision;
    std::vector<Watch> remaining;
    for (const Watch& watch : watches_) {
        if (watch.revision < content_.catalogRevision)
            answer(watch.entry, watch.done, true);
        else
            remaining.push_back(watch);
    }
    watches_ = std::move(remaining);
}

void SimulatedCatalogStore::restore(milliseconds age)
{
    content_ = std::prev(history_.upper_bound(std::max(history_.begin()->first, clock_.now() - age)))->second;
    ++generation_;
}

void SimulatedCatalogStore::writeAgain()
{
    if (content_.version != version_)
        put(version_);
}

void SimulatedCatalogStore::setSilent(bool isSilent)
{
    isSilent_ = isSilent;
    if (isSilent)
        watches_.clear();
}

void SimulatedCatalogStore::read(std::size_t entry, CatalogSource::Done done)
{
    ++calls_;
    auto pending = std::make_shared<CatalogSource::Done>(std::move(done));
    failAfter(callTimeout, pending);
    at(clock_.now() + latency, [this, entry, pending] {
        if (isReachable(entry))
            answer(entry, pending, true);
    });
}

void SimulatedCatalogStore::awaitChange(std::size_t entry, std::uint64_t revision, milliseconds wait, CatalogSource::Done done)
{
    ++calls_;
    auto pending = std::make_shared<CatalogSource::Done>(std::move(done));
    failAfter(wait + callTimeout, pending);
    at(clock_.now() + latency, [this, entry, revision, wait, pending] {
        if (!isReachable(entry))
            return;
        if (revision > content_.revision) {
            ++refusedPositions_;
            respond(entry, pending, { CatalogReadStatus::HistoryLost, {}, 0, statesGeneration ? generation_ : 0 });
        } else if (revision < content_.catalogRevision)
            answer(entry, pending, true);
        else
            watches_.push_back({ entry, revision, clock_.now() + wait, pending });
    });
}

void SimulatedCatalogStore::tick()
{
    history_[clock_.now()] = content_;
    while (!events_.empty() && events_.begin()->first <= clock_.now()) {
        std::function<void()> action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    std::vector<Watch> remaining;
    for (const Watch& watch : watches_) {
        if (cutEntries.count(watch.entry) != 0)
            continue;
        if (watch.until <= clock_.now())
            answer(watch.entry, watch.done, false);
        else
            remaining.push_back(watch);
    }
    watches_ = std::move(remaining);
}

CatalogVersion SimulatedCatalogStore::catalog(std::uint64_t version) const
{
    if (version == 0)
        return {};
    return { std::make_shared<Catalog>(version, std::vector<Route> {}, std::vector<ServiceSpecification> {}, std::nullopt, CallerLimits()), std::to_string(version) };
}

void SimulatedCatalogStore::failAfter(milliseconds timeout, const std::shared_ptr<CatalogSource::Done>& done)
{
    at(clock_.now() + timeout, [done] {
        if (CatalogSource::Done pending = std::exchange(*done, nullptr))
            pending({});
    });
}

void SimulatedCatalogStore::answer(std::size_t entry, const std::shared_ptr<CatalogSource::Done>& done, bool withCatalog)
{
    CatalogReadResult result;
    result.status = CatalogReadStatus::Ok;
    result.revision = content_.revision;
    result.generation = statesGeneration ? generation_ : 0;
    result.time = std::chrono::duration_cast<SourceTime>(clock_.now().time_since_epoch());
    if (withCatalog)
        result.version = catalog(content_.version);
    respond(entry, done, result);
}

void SimulatedCatalogStore::respond(std::size_t entry, const std::shared_ptr<CatalogSource::Done>& done, const CatalogReadResult& result)
{
    at(clock_.now() + latency, [this, entry, done, result] {
        if (!isReachable(entry))
            return;
        if (CatalogSource::Done pending = std::exchange(*done, nullptr))
            pending(result);
    });
}

CatalogSimulation::Entry::Entry(CatalogSimulation& simulation, std::size_t index)
    : holder([&simulation, index](const Catalog&) { simulation.sendState(index); })
    , random(index + 1)
    , source(simulation.store, index)
    , follower(simulation.clock_, random, source, holder, CatalogFollowerSettings {}, { [](bool) {}, [](milliseconds) {}, [](std::uint64_t) {}, [&simulation, index] { return simulation.isWatchedByPeer(index); } })
    , nextState(simulation.clock_.now() + milliseconds(random.index(static_cast<std::size_t>(statePeriod.count()))))
{
}

CatalogSimulation::CatalogSimulation(std::size_t entryCount, std::uint64_t seed)
    : random_(seed)
{
    write();
    for (std::size_t i = 0; i < entryCount; ++i)
        entries_.push_back(std::make_unique<Entry>(*this, i));
    run(milliseconds(1000));
}

std::uint64_t CatalogSimulation::write()
{
    std::uint64_t version = store.write();
    acknowledgedAt_[version] = clock_.now();
    return version;
}

void CatalogSimulation::run(milliseconds duration)
{
    for (milliseconds elapsed { 0 }; elapsed < duration; elapsed += step) {
        clock_.advance(step);
        store.tick();
        while (!messages_.empty() && messages_.begin()->first <= clock_.now()) {
            std::function<void()> message = std::move(messages_.begin()->second);
            messages_.erase(messages_.begin());
            message();
        }
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            Entry& entry = *entries_[i];
            if (entry.isPaused)
                continue;
            bool isTickDue = (clock_.now().time_since_epoch() / step + static_cast<std::int64_t>(i)) % stepsPerTick == 0;
            if (isTickDue)
                entry.follower.tick();
            if (clock_.now() < entry.nextState)
                continue;
            entry.nextState += statePeriod;
            sendState(i);
        }
        check();
    }
}

void CatalogSimulation::setPaused(std::size_t entry, bool isPaused)
{
    entries_[entry]->isPaused = isPaused;
    if (isPaused)
        return;
    std::vector<std::function<void()>> waiting;
    std::swap(waiting, entries_[entry]->waiting);
    for (const std::function<void()>& message : waiting)
        message();
}

// The names of the entries are in the order of their indexes.
bool CatalogSimulation::isWatchedByPeer(std::size_t index) const
{
    const Entry& entry = *entries_[index];
    return std::any_of(entry.peers.begin(), entry.peers.lower_bound(index), [&](const auto& peer) {
        const auto& [knowledge, receivedAt] = peer.second;
        return knowledge.version > 0 && clock_.now() - receivedAt <= suspectAfter && entry.follower.isReader(knowledge);
    });
}

void CatalogSimulation::sendState(std::size_t sender)
{
    State state { sender, entries_[sender]->follower.knowledge() };
    for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
        bool isSelected = peer != sender && (entries_.size() <= maxPeers || random_.index(entries_.size()) < maxPeers);
        if (isSelected && cutLinks.count({ sender, peer }) == 0)
            deliver(peer, [this, peer, state] { receiveState(peer, state); });
    }
}

// As an entry does: sends its catalog to a peer that is behind.
void CatalogSimulation::receiveState(std::size_t receiver, const State& state)
{
    Entry& entry = *entries_[receiver];
    entry.peers[state.sender] = { state.catalog, clock_.now() };
    entry.follower.handlePeer(state.catalog);
    if (state.catalog.version >= entry.holder.version() || cutLinks.count({ receiver, state.sender }) != 0)
        return;
    std::uint64_t version = entry.holder.version();
    deliver(state.sender, [this, peer = state.sender, version] { entries_[peer]->holder.applyIfNewer(store.catalog(version)); });
}

void CatalogSimulation::deliver(std::size_t receiver, std::function<void()> message)
{
    messages_.emplace(clock_.now() + stateLatency, [this, receiver, message = std::move(message)] {
        if (entries_[receiver]->isPaused)
            entries_[receiver]->waiting.push_back(message);
        else
            message();
    });
}

void CatalogSimulation::check()
{
    std::uint64_t due = 0;
    for (const auto& [version, time] : acknowledgedAt_) {
        if (clock_.now() - time > applyBound)
            due = version;
    }
    for (std::size_t i = 0; i < entries_.size() && violations_.size() < maxViolations; ++i) {
        if (excused.count(i) == 0 && entries_[i]->holder.version() < due)
            violations_.push_back("entry " + std::to_string(i) + " has version " + std::to_string(entries_[i]->holder.version()) + ", version " + std::to_string(due) + " is due");
    }
}

}
