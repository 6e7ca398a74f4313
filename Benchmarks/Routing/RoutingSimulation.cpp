#include "RoutingSimulation.h"

#include <algorithm>
#include <cmath>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t entryCount = 4;
constexpr std::size_t engineCount = 16;
constexpr std::size_t ticketsPerEntry = 8;
constexpr std::size_t conversationCount = 400;
constexpr std::size_t customerCount = 10;
constexpr std::size_t uniqueBlocks = 4;
constexpr milliseconds tick(1);
constexpr milliseconds reportInterval(250);
constexpr seconds warmUp(10);
constexpr seconds runTime(60);
constexpr seconds faultStart(20);
constexpr seconds faultEnd(40);
constexpr seconds stallEnd(50);
// An entry cancels a call that produced no token for this long, and retries it at another server.
constexpr seconds silenceTimeout(3);
// Share of load report deliveries that lose one of their cache events.
constexpr double eventLossShare = 0.01;

std::string engineName(std::size_t engine)
{
    return "engine-" + std::string(engine < 10 ? "0" : "") + std::to_string(engine);
}

std::size_t engineIndex(const std::string& name)
{
    return static_cast<std::size_t>(std::stoi(name.substr(7)));
}

std::string zoneName(std::size_t index)
{
    return "zone-" + std::string(1, static_cast<char>('a' + index % 3));
}

double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::unique_ptr<Selector> makeSelector(Policy policy, const BackendServerTable& table, const PrefixCacheIndex& cache,
    const OutlierDetector& outliers, const ZoneLatencies& latencies, Random& random, const std::string& zone)
{
    SelectorSettings settings;
    settings.localZone = zone;
    switch (policy) {
    case Policy::RoundRobin:
        return std::make_unique<RoundRobinSelector>(table);
    case Policy::LeastReported:
        return std::make_unique<LeastReportedSelector>(table);
    case Policy::TwoChoices:
        return std::make_unique<TwoChoicesSelector>(table, random);
    case Policy::Damaskgrade:
        break;
    }
    return std::make_unique<BackendServerSelector>(table, cache, outliers, latencies, random, settings, nullptr);
}

}

RoutingSimulation::Entry::Entry(const Clock& clock, const ZoneLatencies& latencies, std::size_t index, Policy policy, std::uint64_t seed)
    : random(seed * 100 + index)
    , table(clock)
    , cache(16384)
    , outliers(clock, OutlierSettings())
    , selector(makeSelector(policy, table, cache, outliers, latencies, random, zoneName(index)))
{
}

RoutingSimulation::RoutingSimulation(const Scenario& scenario, Policy policy, std::uint64_t seed, Samples& samples)
    : scenario_(scenario)
    , policy_(policy)
    , samples_(samples)
    , startTime_(clock_.now())
    , random_(seed)
    , latencies_(std::chrono::microseconds(500))
    , isUp_(engineCount, true)
    , incarnations_(engineCount, 0)
    , lastReports_(engineCount)
    , nextArrival_(clock_.now())
{
    for (std::size_t index = 0; index < entryCount; ++index)
        entries_.push_back(std::make_unique<Entry>(clock_, latencies_, index, policy, seed));
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        engines_.push_back(std::make_unique<EngineModel>(EngineSettings()));
        connect(engine, true);
    }
    makeConversations();
}

void RoutingSimulation::run()
{
    for (Duration elapsed { 0 }; elapsed < runTime; elapsed += tick) {
        clock_.advance(tick);
        applyFault();
        generateArrivals();
        runEngines();
        if (elapsed % reportInterval == Duration::zero())
            publishReports();
        deliverReports();
        if (elapsed % milliseconds(100) == Duration::zero()) {
            abortSilentCalls();
            sampleImbalance();
        }
        for (std::unique_ptr<Entry>& entry : entries_) {
            entry->outliers.evaluate();
            dispatch(*entry);
        }
    }
    for (std::unique_ptr<EngineModel>& engine : engines_) {
        samples_.promptBlocks += engine->counters().promptBlocks;
        samples_.hitBlocks += engine->counters().hitBlocks;
    }
    for (const auto& [id, call] : calls_) {
        if (!call.hasFirstToken && clock_.now() - call.arrivedAt > seconds(5))
            ++samples_.unanswered;
    }
}

void RoutingSimulation::connect(std::size_t engine, bool isFirst)
{
    HelloMessage hello;
    hello.name = engineName(engine);
    hello.incarnation = std::to_string(++incarnations_[engine]);
    hello.availabilityZone = zoneName(engine);
    hello.engineKind = "model";
    hello.serves = "model-a";
    for (std::unique_ptr<Entry>& entry : entries_) {
        entry->table.connected(hello);
        entry->outliers.add(hello.name, hello.serves);
        if (!isFirst)
            entry->cache.discard(hello.name);
        entry->table.setTicketsHeld(hello.name, ticketsPerEntry);
    }
}

// Each conversation begins with 16 blocks of instructions, which all conversations of the customer share, followed by
// a history of 4 to 64 blocks.
void RoutingSimulation::makeConversations()
{
    for (std::size_t index = 0; index < conversationCount; ++index) {
        std::vector<std::uint64_t> blocks;
        for (std::uint64_t block = 0; block < 16; ++block)
            blocks.push_back((index % customerCount) * 1000 + block + 1);
        std::size_t history = 4 + random_.index(61);
        for (std::size_t block = 0; block < history; ++block)
            blocks.push_back(random_.bits());
        conversations_.push_back(std::move(blocks));
    }
}

void RoutingSimulation::generateArrivals()
{
    while (nextArrival_ <= clock_.now()) {
        double gap = -std::log(1 - random_.fraction()) / scenario_.callsPerSecond;
        nextArrival_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        Call call;
        call.id = nextCall_++;
        call.entry = random_.index(entryCount);
        call.arrivedAt = clock_.now();
        // Squaring the uniform draw skews the distribution to low indexes, so that a few conversations get most calls.
        double draw = random_.fraction();
        std::size_t conversation = static_cast<std::size_t>(draw * draw * static_cast<double>(conversationCount));
        std::vector<std::uint64_t> prefix = conversations_[conversation];
        for (std::size_t block = 0; block < uniqueBlocks; ++block)
            prefix.push_back(random_.bits());
        call.prefix = std::make_shared<const std::vector<std::uint64_t>>(std::move(prefix));
        call.tokens = 64 + static_cast<std::uint32_t>(random_.index(129));
        ++samples_.calls;
        entries_[call.entry]->waitQueue.push_back(call.id);
        calls_.emplace(call.id, std::move(call));
    }
}

void RoutingSimulation::applyFault()
{
    Duration elapsed = clock_.now() - startTime_;
    if (scenario_.fault == Fault::Straggler && elapsed == faultStart)
        engines_[5]->setSlowness(3);
    if (scenario_.fault == Fault::Stalled && (elapsed == faultStart || elapsed == stallEnd))
        engines_[5]->setStalled(elapsed == faultStart);
    if (scenario_.fault == Fault::ZoneLost && elapsed == faultStart)
        failZone();
    if (scenario_.fault == Fault::ZoneLost && elapsed == faultEnd)
        restoreZone();
}

void RoutingSimulation::failZone()
{
    isZoneLost_ = true;
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : calls_) {
        if (!call.server.empty() && isInLostZone(engineIndex(call.server)))
            lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());
    for (std::uint64_t id : lost)
        retry(id);
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        if (!isInLostZone(engine))
            continue;
        isUp_[engine] = false;
        engines_[engine]->restart();
        for (std::unique_ptr<Entry>& entry : entries_) {
            entry->table.disconnected(engineName(engine));
            entry->outliers.remove(engineName(engine));
        }
    }
}

void RoutingSimulation::restoreZone()
{
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        if (!isInLostZone(engine))
            continue;
        isUp_[engine] = true;
        connect(engine, false);
    }
}

void RoutingSimulation::publishReports()
{
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        if (!isUp_[engine])
            continue;
        bool isStalled = scenario_.fault == Fault::Stalled && engine == 5 && clock_.now() - startTime_ >= faultStart
            && clock_.now() - startTime_ < stallEnd;
        if (!isStalled)
            lastReports_[engine] = engines_[engine]->report();
        deliveries_.push_back({ clock_.now() + scenario_.reportLag, engine, lastReports_[engine], clock_.now(),
            engines_[engine]->takeCacheEvents() });
    }
}

void RoutingSimulation::deliverReports()
{
    while (!deliveries_.empty() && deliveries_.front().deliverAt <= clock_.now()) {
        Delivery delivery = std::move(deliveries_.front());
        deliveries_.pop_front();
        if (!isUp_[delivery.engine])
            continue;
        TicketsMessage message;
        message.load = delivery.load;
        message.load.age = std::chrono::duration_cast<milliseconds>(clock_.now() - delivery.reportedAt);
        for (std::unique_ptr<Entry>& entry : entries_) {
            entry->table.ticketsReceived(engineName(delivery.engine), message);
            std::vector<CacheEvent> events = delivery.events;
            if (!events.empty() && random_.fraction() < eventLossShare)
                events.erase(events.begin() + static_cast<std::ptrdiff_t>(random_.index(events.size())));
            entry->cache.apply(engineName(delivery.engine), events);
        }
    }
}

void RoutingSimulation::runEngines()
{
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        if (!isUp_[engine])
            continue;
        EngineModel::Progress progress = engines_[engine]->advance(clock_.now());
        for (const EngineCall& call : progress.firstTokens)
            onFirstToken(call);
        for (const EngineCall& call : progress.ended)
            onCallEnded(call);
        if (clock_.now() - startTime_ < warmUp)
            continue;
        for (Duration interval : progress.tokenIntervals)
            samples_.tokenInterval.push_back(static_cast<float>(inMilliseconds(interval)));
    }
}

void RoutingSimulation::abortSilentCalls()
{
    std::vector<std::uint64_t> silent;
    for (const auto& [id, call] : calls_) {
        if (!call.server.empty() && !call.hasFirstToken && clock_.now() - call.startedAt > silenceTimeout)
            silent.push_back(id);
    }
    std::sort(silent.begin(), silent.end());
    for (std::uint64_t id : silent) {
        Call& call = calls_.at(id);
        engines_[engineIndex(call.server)]->cancel(id);
        entries_[call.entry]->outliers.callFailed(call.server);
        retry(id);
    }
}

void RoutingSimulation::dispatch(Entry& entry)
{
    std::size_t count = entry.waitQueue.size();
    for (std::size_t i = 0; i < count; ++i) {
        std::uint64_t id = entry.waitQueue.front();
        if (!send(entry, calls_.at(id)))
            return;
        entry.waitQueue.pop_front();
    }
}

bool RoutingSimulation::send(Entry& entry, Call& call)
{
    SelectionRequest request;
    request.serves = "model-a";
    request.prefix = *call.prefix;
    request.tried = call.tried;
    Selection selection = entry.selector->select(request);
    if (selection.code != ResultCode::Ok) {
        call.tried.clear();
        return false;
    }
    call.server = selection.server;
    call.startedAt = clock_.now();
    entry.table.callStarted(call.server, std::to_string(call.id));
    engines_[engineIndex(call.server)]->submit({ call.id, call.entry, call.prefix, 0, call.tokens, false, clock_.now() });
    return true;
}

void RoutingSimulation::retry(std::uint64_t id)
{
    Call& call = calls_.at(id);
    Entry& entry = *entries_[call.entry];
    entry.table.callEnded(call.server, std::to_string(id));
    entry.table.setTicketsHeld(call.server, entry.table.find(call.server)->ticketsHeld + 1);
    call.tried.push_back(call.server);
    call.server.clear();
    ++samples_.retries;
    entry.waitQueue.push_front(id);
}

void RoutingSimulation::onFirstToken(const EngineCall& engineCall)
{
    Call& call = calls_.at(engineCall.id);
    Entry& entry = *entries_[call.entry];
    entry.table.callProgressed(call.server);
    entry.outliers.callSucceeded(call.server, clock_.now() - call.startedAt);
    Duration arrival = call.arrivedAt - startTime_;
    if (!call.hasFirstToken && arrival >= warmUp)
        samples_.firstToken.push_back(inMilliseconds(clock_.now() - call.arrivedAt));
    if (!call.hasFirstToken && arrival >= faultEnd && arrival < faultEnd + seconds(10))
        samples_.firstTokenAfterRecovery.push_back(inMilliseconds(clock_.now() - call.arrivedAt));
    call.hasFirstToken = true;
}

void RoutingSimulation::onCallEnded(const EngineCall& engineCall)
{
    Call& call = calls_.at(engineCall.id);
    Entry& entry = *entries_[call.entry];
    entry.table.callProgressed(call.server);
    entry.table.callEnded(call.server, std::to_string(call.id));
    entry.table.setTicketsHeld(call.server, entry.table.find(call.server)->ticketsHeld + 1);
    calls_.erase(engineCall.id);
}

void RoutingSimulation::sampleImbalance()
{
    if (clock_.now() - startTime_ < warmUp)
        return;
    double total = 0;
    double busiest = 0;
    double upEngines = 0;
    for (std::size_t engine = 0; engine < engineCount; ++engine) {
        if (!isUp_[engine])
            continue;
        double calls = static_cast<double>(engines_[engine]->calls());
        total += calls;
        busiest = std::max(busiest, calls);
        upEngines += 1;
    }
    if (total > 0)
        samples_.imbalance.push_back(busiest * upEngines / total);
}

}
