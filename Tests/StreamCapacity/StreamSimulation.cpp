#include "StreamCapacity/StreamSimulation.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr const char* serviceName = "model";
constexpr std::chrono::milliseconds step { 1 };
constexpr std::chrono::milliseconds exchangePeriod { 200 };
constexpr std::chrono::milliseconds tickPeriod { 50 };
constexpr std::chrono::milliseconds maxStreamWait { 240 };
constexpr std::chrono::milliseconds maxLateWait { 50 };
constexpr std::chrono::milliseconds usualRetryAfter { 700 };
constexpr std::chrono::milliseconds deadline { 8000 };
constexpr double maxExpectedShare { 0.75 };
// The estimates and the group need some seconds to reach a steady state.
constexpr std::chrono::seconds warmUp { 8 };

std::string zoneName(std::size_t index)
{
    return std::string(1, static_cast<char>('a' + index % 3));
}

}

EngineModel publishedEngine()
{
    EngineModel engine;
    engine.slots = 10;
    engine.stepsPerPass = 7;
    engine.stepMilliseconds = 4.84;
    engine.requestMillisecondsPerStep = 0.435;
    engine.contextMillisecondsPerStep = 0.0132;
    engine.promptTokensPerSecond = 74800;
    engine.millisecondsPerMillionPairs = 0.232;
    engine.expertShare = 0.85;
    engine.tokenCapacity = 411666;
    engine.usualPromptTokens = 868;
    engine.usualAnswerTokens = 158;
    return engine;
}

StreamSimulation::Gateway::Gateway(const StreamSimulation& simulation, const std::string& zone, std::uint64_t seed)
    : fleet(simulation.clock_, {}, [](const ServerRecord&) {})
    , loads(simulation.clock_, std::chrono::milliseconds(1500))
    , outliers(simulation.clock_, {})
    , rateLimits(simulation.clock_, "test", {}, nullptr)
    , random(seed)
    , selector(simulation.clock_, fleet, loads, outliers, rateLimits, random, { zone })
    , capacity(simulation.clock_, fleet, loads, { simulation.scenario_.mode }, [](const std::string&, bool) {})
    , responseTimes({})
{
    SelectionRule rule;
    rule.assess = [this](const ServerRecord& server, const ServerSelectionRequest& request) {
        ServerAssessment assessment;
        assessment.capacity = capacity.capacity(server, { request.priority, request.isLate });
        return assessment;
    };
    rule.onSend = [this](const ServerRecord& server, const ServerSelectionRequest& request) { capacity.recordSend(server, { request.priority, request.isLate }); };
    selector.addRule(std::move(rule));
}

StreamSimulation::StreamSimulation(const StreamScenario& scenario)
    : scenario_(scenario)
    , random_(scenario.seed)
    , engine_(publishedEngine())
    , group_(clock_, random_, engine_, scenario.ranks, scenario.skew, { [this](std::uint64_t id) { handleEvent(id); }, [this](std::uint64_t id) { handleEnd(id); } })
{
    FleetSnapshot snapshot;
    snapshot.position.revision = 1;
    for (std::size_t i = 0; i < scenario_.ranks; ++i) {
        ServerRecord server;
        server.id = "server" + std::to_string(i);
        server.service = serviceName;
        server.availabilityZone = zoneName(i);
        server.slots = engine_.slots;
        servers_.push_back(server);
    }
    snapshot.servers = servers_;
    std::vector<Route> routes;
    for (std::int32_t priority = 0; priority < 3; ++priority) {
        Route route;
        route.name = std::to_string(priority);
        route.host = "host";
        route.prefix = "/" + route.name + "/";
        route.kind = RequestKind::Streaming;
        route.priority = priority;
        route.services = { { serviceName, 1 } };
        route.targetLatency = scenario_.targetLatency;
        route.targetGap = scenario_.targetGap;
        routes.push_back(route);
    }
    patience_ = routes.front().eventPatience();
    ServiceSpecification specification;
    specification.name = serviceName;
    specification.engine = engine_;
    Catalog catalog(1, routes, { specification }, {}, {});
    std::size_t localCount = std::max<std::size_t>(1, scenario_.gateways / 3);
    for (std::size_t i = 0; i < scenario_.gateways; ++i) {
        gateways_.push_back(std::make_unique<Gateway>(*this, zoneName(i), scenario_.seed * 1000 + i));
        gateways_.back()->fleet.apply(snapshot, clock_.now());
        gateways_.back()->selector.setEntryCount(scenario_.gateways, localCount);
        gateways_.back()->capacity.setEntryCount(scenario_.gateways);
        gateways_.back()->capacity.applyCatalog(catalog);
    }
}

StreamResults StreamSimulation::run()
{
    std::int64_t steps = std::chrono::milliseconds(scenario_.duration).count() / step.count();
    for (std::int64_t i = 1; i <= steps; ++i) {
        clock_.advance(step);
        group_.tick();
        arrive();
        retryCallers();
        // The timers of the gateways are not synchronized.
        for (std::size_t index = 0; index < gateways_.size(); ++index) {
            std::int64_t turn = i + static_cast<std::int64_t>(index) * 13;
            if (turn % (exchangePeriod / step) == 0)
                sendCounts(index);
            if (std::exchange(gateways_[index]->hasRoom, false) || turn % (tickPeriod / step) == 0)
                processWaiting(*gateways_[index]);
        }
        if (i % (tickPeriod / step) == 0)
            abandonSilent();
    }
    return results_;
}

void StreamSimulation::arrive()
{
    double second = std::chrono::duration<double>(clock_.now() - startedAt_).count();
    double factor = second >= scenario_.waveFrom && second < scenario_.waveUntil ? scenario_.waveFactor : 1;
    double expected = factor * scenario_.arrivals * std::chrono::duration<double>(step).count();
    if (random_.fraction() >= expected)
        return;
    Stream stream;
    stream.priority = static_cast<std::int32_t>(random_.index(3));
    stream.tenant = random_.fraction() < scenario_.firstTenantShare ? 0 : 1 + random_.index(9);
    stream.firstArrivedAt = clock_.now();
    accept(stream);
}

void StreamSimulation::accept(Stream stream)
{
    stream.id = ++lastId_;
    stream.gateway = random_.index(gateways_.size());
    stream.arrivedAt = clock_.now();
    Stream& accepted = streams_.emplace(stream.id, stream).first->second;
    if (!trySend(accepted))
        gateways_[stream.gateway]->waiting.push_back(stream.id);
}

bool StreamSimulation::willBeLate(const Stream& stream) const
{
    Duration maxExpected = std::chrono::duration_cast<Duration>(scenario_.targetLatency * maxExpectedShare);
    return clock_.now() + std::min(maxExpected, gateways_[stream.gateway]->responseTimes.expected(serviceName)) > stream.firstArrivedAt + scenario_.targetLatency;
}

bool StreamSimulation::trySend(Stream& stream)
{
    Gateway& gateway = *gateways_[stream.gateway];
    ServerSelectionRequest request { serviceName, {}, !willBeLate(stream), stream.priority, willBeLate(stream) };
    ServerSelection selection = gateway.selector.select(request);
    if (selection.kind == SelectionKind::Server) {
        stream.isSent = true;
        stream.sentAt = clock_.now();
        stream.server = std::stoul(selection.server->id.substr(std::string("server").size()));
        gateway.loads.started(selection.server->id);
        gateway.selector.recordSend(*selection.server, request);
        double answer = engine_.usualAnswerTokens * (0.3 + 1.4 * random_.fraction());
        double prompt = engine_.usualPromptTokens * (0.5 + random_.fraction());
        group_.send(stream.server, { stream.id, prompt, 0, answer });
        return true;
    }
    Duration waited = clock_.now() - stream.arrivedAt;
    bool isLate = willBeLate(stream);
    std::optional<StreamWait> wait = gateway.capacity.streamWait(serviceName, { stream.priority, isLate }, { waited, patience_, stream.firstArrivedAt + deadline - clock_.now() }, stream.id);
    bool isOverdue = isLate && waited >= maxLateWait && !(wait && wait->mayWait);
    if (!isOverdue && (waited < maxStreamWait || (wait && wait->mayWait)))
        return false;
    Stream refused = stream;
    streams_.erase(stream.id);
    refuse(refused, wait ? wait->retryAfter : usualRetryAfter);
    return true;
}

void StreamSimulation::processWaiting(Gateway& gateway)
{
    auto key = [this](std::uint64_t id) {
        const Stream& stream = streams_.at(id);
        return WaitQueueKey { stream.priority, willBeLate(stream), 0, stream.arrivedAt };
    };
    std::stable_sort(gateway.waiting.begin(), gateway.waiting.end(), [&](std::uint64_t left, std::uint64_t right) { return isServedBefore(key(left), key(right)); });
    std::vector<std::uint64_t> still;
    for (std::uint64_t id : std::exchange(gateway.waiting, {})) {
        if (!trySend(streams_.at(id)))
            still.push_back(id);
    }
    gateway.waiting = std::move(still);
}

// The caller comes back once if the time that it is told is at most a third of the time that it has left.
void StreamSimulation::refuse(Stream stream, Duration retryAfter)
{
    Duration left = stream.firstArrivedAt + deadline - clock_.now();
    if (!stream.isRetry && retryAfter <= left / 3) {
        stream.isRetry = true;
        retries_.push_back({ clock_.now() + retryAfter, stream });
        return;
    }
    count(stream, [](StreamCounts& counts) { ++counts.refused; });
}

void StreamSimulation::retryCallers()
{
    std::vector<Retry> due;
    auto isDue = [this](const Retry& retry) { return retry.at <= clock_.now(); };
    std::copy_if(retries_.begin(), retries_.end(), std::back_inserter(due), isDue);
    retries_.erase(std::remove_if(retries_.begin(), retries_.end(), isDue), retries_.end());
    for (const Retry& retry : due)
        accept(retry.stream);
}

void StreamSimulation::abandonSilent()
{
    std::vector<std::uint64_t> silent;
    for (const auto& [id, stream] : streams_) {
        if (stream.events == 0 && clock_.now() - stream.arrivedAt >= patience_)
            silent.push_back(id);
    }
    for (std::uint64_t id : silent) {
        Stream stream = streams_.at(id);
        Gateway& gateway = *gateways_[stream.gateway];
        if (stream.isSent) {
            group_.cancel(stream.server, id);
            gateway.loads.finished(servers_[stream.server].id);
            gateway.hasRoom = true;
        }
        gateway.waiting.erase(std::remove(gateway.waiting.begin(), gateway.waiting.end(), id), gateway.waiting.end());
        count(stream, [](StreamCounts& counts) { ++counts.refused; });
        streams_.erase(id);
    }
}

void StreamSimulation::handleEvent(std::uint64_t id)
{
    Stream& stream = streams_.at(id);
    Gateway& gateway = *gateways_[stream.gateway];
    if (stream.events++ == 0) {
        stream.firstEventAt = clock_.now();
        gateway.responseTimes.record(serviceName, clock_.now() - stream.sentAt);
    } else {
        Duration gap = clock_.now() - stream.lastEventAt;
        stream.longestGap = std::max(stream.longestGap, gap);
        gateway.capacity.recordPause(servers_[stream.server], gap);
    }
    stream.lastEventAt = clock_.now();
}

void StreamSimulation::handleEnd(std::uint64_t id)
{
    Stream stream = streams_.at(id);
    streams_.erase(id);
    Gateway& gateway = *gateways_[stream.gateway];
    gateway.loads.finished(servers_[stream.server].id);
    gateway.hasRoom = true;
    bool isLateStart = stream.firstEventAt - stream.firstArrivedAt > scenario_.targetLatency;
    bool isLatePause = stream.longestGap > scenario_.targetGap;
    count(stream, [&](StreamCounts& counts) { ++(isLateStart ? counts.lateStart : isLatePause ? counts.latePause
                                                                                              : counts.onTime); });
}

void StreamSimulation::sendCounts(std::size_t from)
{
    for (std::size_t to = 0; to < gateways_.size(); ++to) {
        if (from != to)
            gateways_[to]->loads.setPeerCounts(std::to_string(from), gateways_[from]->loads.localCounts());
    }
}

template <typename Function>
void StreamSimulation::count(const Stream& stream, Function function)
{
    if (stream.firstArrivedAt < startedAt_ + warmUp)
        return;
    for (StreamCounts* counts : { &results_.all, &results_.byPriority.at(static_cast<std::size_t>(stream.priority)), &results_.byTenant[stream.tenant] }) {
        ++counts->total;
        function(*counts);
    }
}

}
