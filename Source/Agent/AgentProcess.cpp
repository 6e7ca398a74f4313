#include "Agent/AgentProcess.h"

#include "Core/Error.h"
#include "Metrics/LinkMetrics.h"

#include <glog/logging.h>

#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 50 };
constexpr std::chrono::milliseconds engineReportPeriod { 200 };
// An entry hears of the load of each of its agents this often even without new tickets. About 24 agents
// with 200 bytes each stay within 15 KB a second.
constexpr std::chrono::milliseconds loadReportPeriod { 500 };
// The engine counts as lost after this many reports in a row without an answer.
constexpr std::uint32_t maxEngineMisses = 3;
// An entry that misses older events sees a gap and discards what it knows of the engine.
constexpr std::size_t maxCacheEvents = 1024;
// An engine with calls and no progress for this long counts as stalled. It is above the time of the
// longest prompt and below the time in which a caller waits for a first token in vain.
constexpr std::chrono::milliseconds stallLimit { 1000 };
// Calls that may queue at the engine beyond those it runs, as a share of its capacity.
constexpr double queueShare = 0.25;

std::string engineKey(RunId run)
{
    return "run-" + std::to_string(run);
}

}

AgentProcess::AgentProcess(EventLoop& loop, const Clock& clock, Random& random, AgentSettings settings)
    : loop_(loop)
    , clock_(clock)
    , settings_(std::move(settings))
    , incarnation_(random.identifier())
    , hybridClock_(clock)
    , objects_(loop, settings_.platform, settings_.platformTimeout)
    , events_(hybridClock_, recorderOptions())
    , timeline_(loop, clock, objects_, events_)
    , engine_(loop, settings_)
    , calls_(makeCalls())
{
    calls_.engineFailed("the engine has not answered yet");
    if (!settings_.groupMembers.empty()) {
        maps_ = std::make_unique<MapLinks>(loop_, clock_, random, hybridClock_, settings_, hello(), engine_,
            [this](const std::string& entry, const Frame& frame) { sendToEntry(entry, frame); });
    }
    http_ = std::make_unique<HttpServer>(loop_, settings_.http, HttpServerLimits(),
        [this](const std::shared_ptr<HttpExchange>& exchange) { serveHttp(exchange); });
    links_ = std::make_unique<LinkServer>(loop_, settings_.link, settings_.linkKeys, makeLinkHandlers());
    tickTimer_ = loop_.every(tickPeriod, [this] { tick(); });
    engineTimer_ = loop_.every(engineReportPeriod, [this] { pollEngine(); });
    reportTimer_ = loop_.every(loadReportPeriod, [this] { reportLoad(); });
    loop_.onTermination([this] { beginDrain(); });
    pollEngine();
    events_.record(EventKind::ProcessStarted, settings_.name, "agent of " + settings_.serves + " in " + settings_.availabilityZone);
}

AgentProcess::~AgentProcess() = default;

EventRecorderOptions AgentProcess::recorderOptions() const
{
    EventRecorderOptions options;
    options.instance = settings_.name;
    options.incarnation = incarnation_;
    return options;
}

AgentCalls AgentProcess::makeCalls()
{
    AgentCallsSettings callSettings;
    callSettings.drainBound = settings_.drainLimit;
    AgentCallsHooks hooks;
    hooks.startCall = [this](RunId run, const CallMessage& call) { startCall(run, call); };
    hooks.cancelCall = [this](RunId run) { engine_.cancel(engineKey(run)); };
    hooks.send = [this](std::uint64_t session, const AgentMessage& message) { send(session, message); };
    hooks.addLoadReport = [this](TicketsMessage& message) { fillReport(message); };
    return { settings_.name, incarnation_, clock_, callSettings, std::move(hooks) };
}

LinkHandlers AgentProcess::makeLinkHandlers()
{
    LinkHandlers handlers;
    handlers.onOpen = [](const SessionPointer&) {};
    handlers.onFrame = [this](const SessionPointer& link, const Frame& frame) { receiveFrame(link, frame); };
    handlers.onClose = [this](const SessionPointer& link) { closePeer(link); };
    return handlers;
}

void AgentProcess::receiveFrame(const SessionPointer& link, const Frame& frame)
{
    hybridClock_.observe(frame.time);
    if (frame.type == HelloMessage::type) {
        greet(link, decodeHello(frame.body));
        return;
    }
    auto member = groupLinks_.find(link);
    if (member != groupLinks_.end() && maps_) {
        maps_->receive(member->second, frame);
        return;
    }
    auto peer = peers_.find(link);
    if (peer == peers_.end())
        return;
    if (maps_ && maps_->receive(peer->second.name, frame))
        return;
    std::uint64_t session = peer->second.session;
    if (frame.type == CallMessage::type)
        calls_.receiveCall(session, decodeCall(frame.body), clock_.now());
    else if (frame.type == CancelMessage::type)
        calls_.receiveCancel(session, decodeCancel(frame.body));
    else if (frame.type == ResolveMessage::type)
        calls_.receiveResolve(session, decodeResolve(frame.body));
    else if (frame.type == FetchMessage::type)
        calls_.receiveFetch(session, decodeFetch(frame.body));
}

void AgentProcess::greet(const SessionPointer& link, const HelloMessage& hello)
{
    if (peers_.count(link) != 0)
        return;
    // Another agent of the group gets no tickets.
    if (hello.role == "agent") {
        groupLinks_[link] = hello.name;
        return;
    }
    link->send(encodeMessage(this->hello(), hybridClock_.tick()));
    std::uint64_t session = calls_.openSession();
    linkBySession_[session] = link;
    peers_[link] = { link, session, hello.name, 0 };
    LOG(INFO) << "entry " << hello.name << " linked";
}

HelloMessage AgentProcess::hello() const
{
    HelloMessage answer;
    answer.name = settings_.name;
    answer.incarnation = incarnation_;
    answer.availabilityZone = settings_.availabilityZone;
    answer.role = "agent";
    answer.engineKind = settings_.engineKind == EngineKind::Model ? "model" : "application";
    answer.serves = settings_.serves;
    answer.group = settings_.group;
    answer.groupMembers = settings_.groupMembers;
    return answer;
}

void AgentProcess::sendToEntry(const std::string& entry, const Frame& frame)
{
    for (const auto& [link, peer] : peers_) {
        if (peer.name == entry)
            link->send(frame);
    }
}

void AgentProcess::closePeer(const SessionPointer& link)
{
    groupLinks_.erase(link);
    auto peer = peers_.find(link);
    if (peer == peers_.end())
        return;
    calls_.closeSession(peer->second.session);
    linkBySession_.erase(peer->second.session);
    LOG(INFO) << "entry " << peer->second.name << " unlinked";
    peers_.erase(peer);
}

void AgentProcess::send(std::uint64_t session, const AgentMessage& message)
{
    auto found = linkBySession_.find(session);
    if (found == linkBySession_.end())
        return;
    const SessionPointer& link = found->second;
    if (std::holds_alternative<TicketsMessage>(message)) {
        TicketsMessage tickets = std::get<TicketsMessage>(message);
        addCacheEvents(peers_[link], tickets);
        link->send(encodeMessage(tickets, hybridClock_.tick()));
        return;
    }
    std::visit([this, &link](const auto& typed) { link->send(encodeMessage(typed, hybridClock_.tick())); }, message);
}

void AgentProcess::startCall(RunId run, const CallMessage& call)
{
    EngineCallHandlers handlers;
    std::uint64_t expected = call.resumeText.size();
    auto nextOffset = std::make_shared<std::uint64_t>(expected);
    handlers.onText = [this, run, nextOffset](std::uint64_t offset, std::string_view text) {
        if (offset != *nextOffset) {
            engine_.cancel(engineKey(run));
            calls_.engineEnd(run, ResultCode::BackendServerFailed, "engine skipped a part of its answer");
            return;
        }
        *nextOffset += text.size();
        lastProgress_ = clock_.now();
        calls_.engineText(run, std::string(text));
    };
    handlers.onEnd = [this, run](std::uint64_t) {
        lastProgress_ = clock_.now();
        calls_.engineEnd(run, ResultCode::Ok, "");
    };
    if (calls_.runningCalls() <= 1)
        lastProgress_ = clock_.now();
    handlers.onFailure = [this, run](const EngineFailure& failure) {
        calls_.engineEnd(run, ResultCode::BackendServerFailed, failure.detail);
    };
    engine_.start(engineKey(run), call, std::move(handlers));
}

void AgentProcess::pollEngine()
{
    engine_.fetchLoad([this](const std::optional<LoadReport>& load) { takeLoad(load); });
    if (settings_.engineKind == EngineKind::Model)
        engine_.fetchCacheEvents(lastCacheEvent_, [this](const std::vector<CacheEvent>& events) { takeCacheEvents(events); });
}

void AgentProcess::takeLoad(const std::optional<LoadReport>& load)
{
    if (!load) {
        ++engineMisses_;
        if (isEngineAvailable_ && engineMisses_ >= maxEngineMisses) {
            isEngineAvailable_ = false;
            LOG(WARNING) << "engine at " << formatEndpoint(settings_.engine) << " does not answer";
            calls_.engineFailed("the engine does not answer");
            events_.record(EventKind::BackendServerEjected, settings_.name, "the engine does not answer");
        }
        return;
    }
    engineMisses_ = 0;
    load_ = *load;
    loadReceivedAt_ = clock_.now();
    std::uint64_t queueSlots = static_cast<std::uint64_t>(static_cast<double>(load->capacity) * queueShare);
    calls_.setSlots(load->capacity + queueSlots);
    if (isEngineAvailable_)
        return;
    isEngineAvailable_ = true;
    LOG(INFO) << "engine at " << formatEndpoint(settings_.engine) << " answers";
    calls_.engineAvailable();
    events_.record(EventKind::BackendServerReadmitted, settings_.name, "the engine answers");
}

void AgentProcess::reportLoad()
{
    for (const auto& [session, link] : linkBySession_) {
        TicketsMessage message;
        message.session = session;
        message.isDraining = isDraining_;
        fillReport(message);
        send(session, message);
    }
}

void AgentProcess::fillReport(TicketsMessage& message) const
{
    message.load = load_;
    message.health = engineHealth();
    message.groupSkew = maps_ ? maps_->groupSkew() : 1;
    message.load.age += std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - loadReceivedAt_);
}

void AgentProcess::takeCacheEvents(const std::vector<CacheEvent>& events)
{
    for (const CacheEvent& event : events) {
        if (event.sequence <= lastCacheEvent_)
            continue;
        cacheEvents_.push_back(event);
        lastCacheEvent_ = event.sequence;
    }
    while (cacheEvents_.size() > maxCacheEvents)
        cacheEvents_.pop_front();
}

void AgentProcess::addCacheEvents(Peer& peer, TicketsMessage& message) const
{
    for (const CacheEvent& event : cacheEvents_) {
        if (event.sequence > peer.lastCacheEvent)
            message.cacheEvents.push_back(event);
    }
    peer.lastCacheEvent = lastCacheEvent_;
}

EngineHealth AgentProcess::engineHealth() const
{
    if (!isEngineAvailable_)
        return EngineHealth::Unavailable;
    bool isStalled = calls_.runningCalls() > 0 && clock_.now() - lastProgress_ > stallLimit;
    return isStalled ? EngineHealth::Stalled : EngineHealth::Good;
}

// Tells the entries at once when the health changes, so that they move their calls elsewhere.
void AgentProcess::recordHealth()
{
    EngineHealth health = engineHealth();
    if (health == lastHealth_)
        return;
    lastHealth_ = health;
    reportLoad();
    if (health == EngineHealth::Stalled) {
        events_.record(EventKind::BackendServerEjected, settings_.name, "the engine makes no progress");
        LOG(WARNING) << "engine makes no progress with " << calls_.runningCalls() << " calls";
    }
}

void AgentProcess::tick()
{
    calls_.tick();
    recordHealth();
    if (!isDraining_)
        return;
    DrainState state = calls_.drainState();
    if (state == DrainState::OverTime && !isOverTimeReported_) {
        isOverTimeReported_ = true;
        LOG(WARNING) << "drain limit passed with " << calls_.runningCalls() << " calls running; waiting for them";
    }
    if (state == DrainState::Drained) {
        LOG(INFO) << "drained";
        loop_.stop();
    }
}

// A second signal changes nothing: calls in flight are finished in any case.
void AgentProcess::beginDrain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    LOG(INFO) << "draining with " << calls_.runningCalls() << " calls running";
    calls_.beginDrain();
    events_.record(EventKind::DrainStarted, settings_.name, std::to_string(calls_.runningCalls()) + " calls running");
}

void AgentProcess::serveHttp(const std::shared_ptr<HttpExchange>& exchange)
{
    std::string_view path = pathOf(exchange->request().target);
    if (path == "/metrics")
        exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText() });
    else if (path == "/v1/timeline")
        exchange->respond({ 200, { { "Content-Type", "application/json" } }, encodeTimelineBatch(events_.liveBatch()) });
    else if (path == "/healthz")
        exchange->respond({ 200, {}, "ok\n" });
    else if (path == "/readyz")
        exchange->respond({ isEngineAvailable_ && !isDraining_ ? 200 : 503, {}, isDraining_ ? "draining\n" : "" });
    else
        exchange->respond({ 404, {}, "" });
}

std::string AgentProcess::metricsText() const
{
    MetricsPage page;
    const AgentCallsCounters& counters = calls_.counters();
    page.addCounter("damaskgrade_agent_calls_started_total", "Calls started at the engine", static_cast<double>(counters.started));
    page.addCounter("damaskgrade_agent_calls_refused_total", "Calls refused", static_cast<double>(counters.refused));
    page.addCounter("damaskgrade_agent_tickets_revoked_total", "Tickets revoked by a resolve", static_cast<double>(counters.revokedByResolve));
    page.addGauge("damaskgrade_agent_calls_running", "Calls running at the engine", static_cast<double>(calls_.runningCalls()));
    page.addGauge("damaskgrade_agent_answer_bytes", "Bytes of answers kept", static_cast<double>(calls_.answerBytes()));
    page.addGauge("damaskgrade_agent_engine_available", "Whether the engine answers", isEngineAvailable_ ? 1 : 0);
    addLinkMetrics(page, links_->counters(), "server");
    if (maps_)
        addLinkMetrics(page, maps_->counters(), "group");
    addHttpMetrics(page, http_->counters());
    addProcessMetrics(page);
    return page.text();
}

}
