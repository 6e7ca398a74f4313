#include "AffinitySimulation.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tick { 2 };
constexpr std::chrono::milliseconds statePeriod { 200 };
constexpr std::chrono::milliseconds retryPeriod { 50 };
constexpr std::chrono::seconds maxWait { 1 };
constexpr std::chrono::seconds playTime { 25 };
constexpr std::chrono::seconds warmUpTime { 5 };
constexpr std::uint32_t ownTokens = 400;
constexpr std::uint32_t answerTokens = 158;
constexpr std::uint32_t chunkTokens = 512;
constexpr std::uint32_t slots = 10;
constexpr std::string_view service = "model";

struct SimulatedRequest {
    std::size_t gateway { 0 };
    std::vector<PromptSegment> prompt;
    TimePoint arrivedAt;
    // Since when the request waits for a server.
    TimePoint waitsSince;
    TimePoint retryAt;
    std::string serverId;
    ServerRecord sentTo;
    double tokensToRead { 0 };
    std::uint32_t answered { 0 };
    bool hasBegun { false };
    bool isCounted { false };
};

using RequestPointer = std::shared_ptr<SimulatedRequest>;

// An engine that executes passes: it reads prompts in the order of arrival, and all requests that are read get tokens.
class SimulatedEngine {
public:
    SimulatedEngine(EngineModel model, Duration retention)
        : model_(model)
        , retention_(retention)
    {
    }

    // Returns how many of the shared tokens are held.
    std::uint32_t add(const RequestPointer& request, TimePoint now)
    {
        queue_.push_back(request);
        auto found = retained_.find(request->prompt.front().part);
        bool isHeld = found != retained_.end() && (isRunning(found->first) || now - found->second.usedAt < retention_);
        request->tokensToRead = ownTokens + (isHeld ? 0.0 : request->prompt.front().tokens);
        return isHeld ? request->prompt.front().tokens : 0;
    }

    void restart()
    {
        queue_.clear();
        running_.clear();
        retained_.clear();
    }

    std::vector<RequestPointer> requests() const
    {
        std::vector<RequestPointer> all(running_.begin(), running_.end());
        all.insert(all.end(), queue_.begin(), queue_.end());
        return all;
    }

    template <typename FirstEvent, typename End>
    void advance(TimePoint now, const FirstEvent& onFirstEvent, const End& onEnd)
    {
        if (now < passEndsAt_)
            return;
        finishPass(now, onFirstEvent, onEnd);
        while (!queue_.empty() && running_.size() < slots) {
            running_.push_back(queue_.front());
            queue_.pop_front();
        }
        if (!running_.empty())
            startPass(now);
    }

private:
    struct Retained {
        TimePoint usedAt;
        std::uint32_t tokens { 0 };
    };

    bool isRunning(PromptPart part) const
    {
        return std::any_of(running_.begin(), running_.end(), [part](const RequestPointer& request) { return request->prompt.front().part == part; });
    }

    void startPass(TimePoint now)
    {
        double budget = static_cast<double>(chunkTokens) * model_.stepsPerPass;
        double read = 0;
        double context = 0;
        for (const RequestPointer& request : running_) {
            double part = std::min(budget - read, request->tokensToRead);
            request->tokensToRead -= part;
            read += part;
            context += (request->prompt.front().tokens + ownTokens + request->answered) / 1000.0;
        }
        double step = model_.stepMilliseconds + model_.requestMillisecondsPerStep * static_cast<double>(running_.size()) + model_.contextMillisecondsPerStep * context;
        double milliseconds = model_.stepsPerPass * step + readingMilliseconds(model_, read);
        passEndsAt_ = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
        isInPass_ = true;
    }

    template <typename FirstEvent, typename End>
    void finishPass(TimePoint now, const FirstEvent& onFirstEvent, const End& onEnd)
    {
        if (!isInPass_)
            return;
        isInPass_ = false;
        std::vector<RequestPointer> finished;
        for (const RequestPointer& request : running_) {
            if (request->tokensToRead > 0)
                continue;
            if (request->answered == 0) {
                retained_[request->prompt.front().part] = { now, request->prompt.front().tokens };
                onFirstEvent(*request);
            }
            request->answered += model_.stepsPerPass;
            if (request->answered >= answerTokens)
                finished.push_back(request);
        }
        for (const RequestPointer& request : finished) {
            retained_[request->prompt.front().part].usedAt = now;
            running_.remove(request);
            onEnd(*request);
        }
        evict();
    }

    // Evicts what was not used for the longest time until everything fits in the memory.
    void evict()
    {
        double used = 0;
        for (const auto& [part, entry] : retained_)
            used += entry.tokens;
        for (const RequestPointer& request : running_)
            used += ownTokens + request->answered;
        while (used > model_.tokenCapacity) {
            auto oldest = retained_.end();
            for (auto entry = retained_.begin(); entry != retained_.end(); ++entry) {
                if (!isRunning(entry->first) && (oldest == retained_.end() || entry->second.usedAt < oldest->second.usedAt))
                    oldest = entry;
            }
            if (oldest == retained_.end())
                return;
            used -= oldest->second.tokens;
            retained_.erase(oldest);
        }
    }

    EngineModel model_;
    Duration retention_;
    std::deque<RequestPointer> queue_;
    std::list<RequestPointer> running_;
    std::map<PromptPart, Retained> retained_;
    TimePoint passEndsAt_;
    bool isInPass_ { false };
};

// One gateway with the real selection of servers.
struct SimulatedGateway {
    SimulatedGateway(const ManualClock& manualClock, const AffinityScenario& scenario, std::uint64_t seed)
        : clock(manualClock)
        , random(seed)
        , affinity(clock, fleet, loads, settingsOf(scenario), { [scenario](std::string_view) { return simulatedEngine(scenario); }, [](const ServerRecord&) { return true; } })
    {
        selector.setEntryCount(scenario.gateways, scenario.gateways);
    }

    static PrefixAffinitySettings settingsOf(const AffinityScenario& scenario)
    {
        PrefixAffinitySettings settings;
        settings.index.maxEntries = 16384;
        settings.index.retention = std::chrono::duration_cast<Duration>(scenario.retention * scenario.statedRetention);
        return settings;
    }

    double meanLoad() const
    {
        double sum = 0;
        for (const auto& [id, server] : fleet.servers())
            sum += loads.inFlight(id);
        return sum / static_cast<double>(fleet.servers().size());
    }

    // Returns the server for a first part: the first by hash whose load is below the bound.
    std::string hashedServer(PromptPart part) const
    {
        constexpr double loadFactor = 1.25;
        double bound = std::ceil(loadFactor * (meanLoad() + 1 / static_cast<double>(fleet.servers().size())));
        std::string best;
        std::uint64_t bestHash = 0;
        for (const auto& [id, server] : fleet.servers()) {
            std::uint64_t hash = XXH64(id.data(), id.size(), part);
            if (loads.inFlight(id) < bound && (best.empty() || hash > bestHash)) {
                best = id;
                bestHash = hash;
            }
        }
        return best;
    }

    void addRule(AffinityPolicy policy)
    {
        constexpr double alwaysPreferred = -1000;
        if (policy == AffinityPolicy::None)
            return;
        SelectionRule rule = affinity.makeRule();
        if (policy == AffinityPolicy::AlwaysHolder) {
            rule.assess = [this](const ServerRecord& server, const ServerSelectionRequest& request) {
                ServerAssessment assessment;
                assessment.cost = affinity.index().held(server, request.prompt, 0).empty() ? 0 : alwaysPreferred;
                return assessment;
            };
        } else if (policy == AffinityPolicy::BoundedHashing) {
            rule.assess = [this](const ServerRecord& server, const ServerSelectionRequest& request) {
                ServerAssessment assessment;
                assessment.cost = hashedServer(request.prompt.front().part) == server.id ? alwaysPreferred : 0;
                return assessment;
            };
        }
        selector.addRule(std::move(rule));
    }

    const ManualClock& clock;
    Random random;
    FleetView fleet { clock, {}, [](const ServerRecord&) {} };
    InFlightTracker loads { clock, std::chrono::seconds(1) };
    OutlierDetector outliers { clock, {} };
    ServerRateLimits rateLimits { clock, "test", {}, nullptr };
    ServerSelector selector { clock, fleet, loads, outliers, rateLimits, random, { "a" } };
    PrefixAffinity affinity;
};

class Simulation {
public:
    Simulation(const AffinityScenario& scenario, AffinityPolicy policy)
        : scenario_(scenario)
        , random_(scenario.seed)
    {
        snapshot_.position.revision = 1;
        for (std::size_t i = 0; i < scenario.servers; ++i) {
            ServerRecord server;
            server.id = "s" + std::to_string(i);
            server.service = service;
            server.address = { "10.0.0.1", static_cast<std::uint16_t>(1 + i) };
            server.availabilityZone = "a";
            server.slots = slots;
            server.startedAt = 1;
            snapshot_.servers.push_back(server);
            engines_.emplace(server.id, SimulatedEngine(simulatedEngine(scenario), scenario.retention));
        }
        for (std::size_t i = 0; i < scenario.gateways; ++i) {
            gateways_.push_back(std::make_unique<SimulatedGateway>(clock_, scenario, scenario.seed * 100 + i));
            gateways_.back()->fleet.apply(snapshot_, clock_.now());
            gateways_.back()->addRule(policy);
        }
        for (std::size_t i = 0; i < scenario.prefixes; ++i)
            weights_.push_back(1 / std::pow(static_cast<double>(i + 1), scenario.skew));
    }

    AffinityResult play()
    {
        TimePoint start = clock_.now();
        TimePoint nextArrival = start;
        TimePoint nextState = start;
        TimePoint nextRestart = start + scenario_.restartInterval;
        while (clock_.now() - start < playTime) {
            isCounting_ = clock_.now() - start >= warmUpTime;
            while (clock_.now() >= nextArrival) {
                arrive();
                nextArrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-std::log(1 - random_.fraction()) / scenario_.requestsPerSecond));
            }
            if (clock_.now() >= nextState) {
                exchangeStates();
                nextState += statePeriod;
            }
            if (scenario_.restartInterval > Duration::zero() && clock_.now() >= nextRestart) {
                restartNext();
                nextRestart += scenario_.restartInterval;
            }
            sendWaiting();
            for (auto& [id, engine] : engines_)
                engine.advance(
                    clock_.now(), [this](SimulatedRequest& request) { begun(request); }, [this](const SimulatedRequest& request) { ended(request); });
            clock_.advance(tick);
        }
        AffinityResult result;
        result.firstEvent = firstEvents_ / static_cast<double>(begun_);
        result.complete = completions_ / static_cast<double>(ended_);
        result.refusedShare = static_cast<double>(refused_) / static_cast<double>(counted_);
        result.heldShare = heldTokens_ / sentTokens_;
        return result;
    }

private:
    std::size_t drawPrefix()
    {
        if (random_.fraction() < scenario_.hotShare)
            return 0;
        double sum = 0;
        for (double weight : weights_)
            sum += weight;
        double position = random_.fraction() * sum;
        std::size_t prefix = 0;
        while (prefix + 1 < weights_.size() && position >= weights_[prefix])
            position -= weights_[prefix++];
        return prefix;
    }

    void arrive()
    {
        RequestPointer request = std::make_shared<SimulatedRequest>();
        request->gateway = random_.index(gateways_.size());
        request->prompt = { { 1 + drawPrefix(), scenario_.sharedTokens }, { random_.bits(), ownTokens } };
        request->arrivedAt = clock_.now();
        request->waitsSince = clock_.now();
        request->retryAt = clock_.now();
        request->isCounted = isCounting_;
        counted_ += isCounting_ ? 1 : 0;
        waiting_.push_back(request);
    }

    void sendWaiting()
    {
        for (auto entry = waiting_.begin(); entry != waiting_.end();) {
            RequestPointer request = *entry;
            bool isDue = clock_.now() >= request->retryAt;
            if (isDue && clock_.now() - request->waitsSince > maxWait) {
                refused_ += request->isCounted ? 1 : 0;
                entry = waiting_.erase(entry);
            } else if (isDue && trySend(request)) {
                entry = waiting_.erase(entry);
            } else {
                ++entry;
            }
        }
    }

    bool trySend(const RequestPointer& request)
    {
        SimulatedGateway& gateway = *gateways_[request->gateway];
        ServerSelectionRequest selection { service, {}, true, 0, false, request->prompt };
        ServerSelection selected = gateway.selector.select(selection);
        if (selected.kind != SelectionKind::Server) {
            request->retryAt = clock_.now() + retryPeriod;
            return false;
        }
        request->sentTo = *selected.server;
        gateway.loads.started(request->sentTo.id);
        gateway.selector.recordSend(request->sentTo, selection);
        double held = engines_.at(request->sentTo.id).add(request, clock_.now());
        if (request->isCounted) {
            heldTokens_ += held;
            sentTokens_ += scenario_.sharedTokens;
        }
        return true;
    }

    void begun(SimulatedRequest& request)
    {
        gateways_[request.gateway]->selector.recordFirstEvent(request.sentTo, { service, {}, true, 0, false, request.prompt });
        if (!request.isCounted || request.hasBegun)
            return;
        request.hasBegun = true;
        ++begun_;
        firstEvents_ += std::chrono::duration<double, std::milli>(clock_.now() - request.arrivedAt).count();
    }

    void release(const SimulatedRequest& request)
    {
        SimulatedGateway& gateway = *gateways_[request.gateway];
        gateway.loads.finished(request.sentTo.id);
        gateway.selector.recordEnd(request.sentTo, { service, {}, true, 0, false, request.prompt });
    }

    void ended(const SimulatedRequest& request)
    {
        release(request);
        if (!request.isCounted)
            return;
        ++ended_;
        completions_ += std::chrono::duration<double, std::milli>(clock_.now() - request.arrivedAt).count();
    }

    void exchangeStates()
    {
        for (std::size_t from = 0; from < gateways_.size(); ++from) {
            for (std::size_t to = 0; to < gateways_.size(); ++to) {
                if (from != to)
                    gateways_[to]->loads.setPeerCounts(std::to_string(from), gateways_[from]->loads.localCounts());
            }
        }
    }

    // The requests at the server are sent again.
    void restartNext()
    {
        ServerRecord& server = snapshot_.servers[nextRestarted_++ % snapshot_.servers.size()];
        ++server.startedAt;
        ++snapshot_.position.revision;
        SimulatedEngine& engine = engines_.at(server.id);
        for (const RequestPointer& request : engine.requests()) {
            release(*request);
            request->answered = 0;
            request->waitsSince = clock_.now();
            request->retryAt = clock_.now();
            waiting_.push_back(request);
        }
        engine.restart();
        for (const std::unique_ptr<SimulatedGateway>& gateway : gateways_)
            gateway->fleet.apply(snapshot_, clock_.now());
    }

    AffinityScenario scenario_;
    ManualClock clock_;
    Random random_;
    FleetSnapshot snapshot_;
    std::map<std::string, SimulatedEngine> engines_;
    std::vector<std::unique_ptr<SimulatedGateway>> gateways_;
    std::vector<double> weights_;
    std::list<RequestPointer> waiting_;
    std::size_t nextRestarted_ { 0 };
    bool isCounting_ { false };
    std::uint64_t counted_ { 0 };
    std::uint64_t refused_ { 0 };
    std::uint64_t begun_ { 0 };
    std::uint64_t ended_ { 0 };
    double firstEvents_ { 0 };
    double completions_ { 0 };
    double heldTokens_ { 0 };
    double sentTokens_ { 0 };
};

}

EngineModel simulatedEngine(const AffinityScenario& scenario)
{
    EngineModel engine;
    engine.slots = slots;
    engine.stepsPerPass = 7;
    engine.stepMilliseconds = 4.84;
    engine.requestMillisecondsPerStep = 0.435;
    engine.contextMillisecondsPerStep = 0.0132;
    engine.promptTokensPerSecond = 74800;
    engine.millisecondsPerMillionPairs = 0.232;
    engine.tokenCapacity = scenario.tokenCapacity;
    engine.usualPromptTokens = scenario.sharedTokens + ownTokens;
    engine.usualAnswerTokens = answerTokens;
    return engine;
}

AffinityResult playAffinity(const AffinityScenario& scenario, AffinityPolicy policy)
{
    return Simulation(scenario, policy).play();
}

}
