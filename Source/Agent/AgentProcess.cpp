#include "Agent/AgentProcess.h"

#include "Core/Error.h"
#include "Metrics/LinkMetrics.h"

#include <glog/logging.h>

#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 50 };
constexpr std::chrono::milliseconds enginePollPeriod { 200 };
// Each agent reports its load to each linked entry with this period, even without new tickets. About 24 agents
// with 200 bytes each stay within 15 KB per second.
constexpr std::chrono::milliseconds loadReportPeriod { 500 };
// The engine is unavailable after this many consecutive load requests without a response.
constexpr std::uint32_t maxMissedEngineReports = 3;
// An entry that missed older events detects a gap and discards its cache state of the engine.
constexpr std::size_t maxCacheEvents = 1024;
// An engine that has calls but makes no progress for this long is reported as stalled. The limit is longer than
// the processing of the longest prompt, which yields no tokens until it ends. It is shorter than stall_ms of
// section oncall (3 s in the examples), so that calls leave the engine before their own stall limit.
constexpr std::chrono::milliseconds stallLimit { 1000 };
// Calls that may queue at the engine in addition to those it runs, as a share of its capacity.
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
    calls_.engineFailed("the engine has not responded yet");
    if (!settings_.groupMembers.empty()) {
        maps_ = std::make_unique<MapLinks>(loop_, clock_, random, hybridClock_, settings_, hello(), engine_,
            [this](const std::string& entry, const Frame& frame) { sendToEntry(entry, frame); });
    }
    http_ = std::make_unique<HttpServer>(loop_, settings_.http, HttpServerLimits(),
        [this](const std::shared_ptr<HttpExchange>& exchange) { serveHttp(exchange); });
    links_ = std::make_unique<LinkServer>(loop_, settings_.link, settings_.linkKeys, makeLinkHandlers());
    tickTimer_ = loop_.every(tickPeriod, [this] { tick(); });
    engineTimer_ = loop_.every(enginePollPeriod, [this] { pollEngine(); });
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
    callSettings.drainTimeout = settings_.drainLimit;
    AgentCallsHooks hooks;
    hooks.startCall = [this](RunId run, const CallMessage& call) { startCall(run, call); };
    hooks.cancelCall = [this](RunId run) { engine_.cancel(engineKey(run)); };
    hooks.send = [this](std::uint64_t session, const AgentMessage& message) { send(session, message); };
    hooks.addLoadReport = [this](TicketsMessage& message) { fillLoadReport(message); };
    return { settings_.name, incarnation_, clock_, callSettings, std::move(hooks) };
}

LinkHandlers AgentProcess::makeLinkHandlers()
{
    LinkHandlers handlers;
    handlers.onOpen = [](const LinkPointer&) {};
    handlers.onFrame = [this](const LinkPointer& link, const Frame& frame) { receiveFrame(link, frame); };
    handlers.onClose = [this](const LinkPointer& link) { removeLink(link); };
    return handlers;
}

void AgentProcess::receiveFrame(const LinkPointer& link, const Frame& frame)
{
    hybridClock_.observe(frame.time);
    if (frame.type == HelloMessage::type) {
        receiveHello(link, decodeHello(frame.body));
        return;
    }
    auto member = groupLinks_.find(link);
    if (member != groupLinks_.end() && maps_) {
        maps_->receive(member->second, frame);
        return;
    }
    auto linkedEntry = linkedEntries_.find(link);
    if (linkedEntry == linkedEntries_.end())
        return;
    if (maps_ && maps_->receive(linkedEntry->second.name, frame))
        return;
    std::uint64_t session = linkedEntry->second.session;
    if (frame.type == CallMessage::type)
        calls_.receiveCall(session, decodeCall(frame.body), clock_.now());
    else if (frame.type == CancelMessage::type)
        calls_.receiveCancel(session, decodeCancel(frame.body));
    else if (frame.type == ResolveMessage::type)
        calls_.receiveResolve(session, decodeResolve(frame.body));
    else if (frame.type == FetchMessage::type)
        calls_.receiveFetch(session, decodeFetch(frame.body));
}

void AgentProcess::receiveHello(const LinkPointer& link, const HelloMessage& hello)
{
    if (linkedEntries_.count(link) != 0)
        return;
    // Other agents of the group get no tickets.
    if (hello.role == "agent") {
        groupLinks_[link] = hello.name;
        return;
    }
    link->send(encodeMessage(this->hello(), hybridClock_.tick()));
    std::uint64_t session = calls_.openSession();
    linkBySession_[session] = link;
    linkedEntries_[link] = { link, session, hello.name, 0 };
    LOG(INFO) << "entry " << hello.name << " linked";
}

HelloMessage AgentProcess::hello() const
{
    HelloMessage message;
    message.name = settings_.name;
    message.incarnation = incarnation_;
    message.availabilityZone = settings_.availabilityZone;
    message.role = "agent";
    message.engineKind = settings_.engineKind == EngineKind::Model ? "model" : "application";
    message.serves = settings_.serves;
    message.group = settings_.group;
    message.groupMembers = settings_.groupMembers;
    return message;
}

void AgentProcess::sendToEntry(const std::string& entry, const Frame& frame)
{
    for (const auto& [link, linkedEntry] : linkedEntries_) {
        if (linkedEntry.name == entry)
            link->send(frame);
    }
}

void AgentProcess::removeLink(const LinkPointer& link)
{
    groupLinks_.erase(link);
    auto linkedEntry = linkedEntries_.find(link);
    if (linkedEntry == linkedEntries_.end())
        return;
    calls_.closeSession(linkedEntry->second.session);
    linkBySession_.erase(linkedEntry->second.session);
    LOG(INFO) << "entry " << linkedEntry->second.name << " unlinked";
    linkedEntries_.erase(linkedEntry);
}

void AgentProcess::send(std::uint64_t session, const AgentMessage& message)
{
    auto found = linkBySession_.find(session);
    if (found == linkBySession_.end())
        return;
    const LinkPointer& link = found->second;
    if (std::holds_alternative<TicketsMessage>(message)) {
        TicketsMessage tickets = std::get<TicketsMessage>(message);
        addCacheEvents(linkedEntries_[link], tickets);
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
            calls_.engineEnd(run, ResultCode::BackendServerFailed, "the engine skipped a part of the answer");
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
    engine_.fetchLoad([this](const std::optional<LoadReport>& load) { updateEngineLoad(load); });
    if (settings_.engineKind == EngineKind::Model)
        engine_.fetchCacheEvents(lastCacheEvent_, [this](const std::vector<CacheEvent>& events) { storeCacheEvents(events); });
}

void AgentProcess::updateEngineLoad(const std::optional<LoadReport>& load)
{
    if (!load) {
        ++missedEngineReports_;
        if (isEngineAvailable_ && missedEngineReports_ >= maxMissedEngineReports) {
            isEngineAvailable_ = false;
            LOG(WARNING) << "engine at " << formatEndpoint(settings_.engine) << " does not respond";
            calls_.engineFailed("the engine does not respond");
            events_.record(EventKind::BackendServerEjected, settings_.name, "the engine does not answer");
        }
        return;
    }
    missedEngineReports_ = 0;
    load_ = *load;
    loadReceivedAt_ = clock_.now();
    // Slots for calls that queue at the engine, in addition to those that it runs.
    std::uint64_t queueSlots = static_cast<std::uint64_t>(static_cast<double>(load->capacity) * queueShare);
    calls_.setSlots(load->capacity + queueSlots);
    if (isEngineAvailable_)
        return;
    isEngineAvailable_ = true;
    LOG(INFO) << "engine at " << formatEndpoint(settings_.engine) << " responds";
    calls_.engineAvailable();
    events_.record(EventKind::BackendServerReadmitted, settings_.name, "the engine answers");
}

void AgentProcess::reportLoad()
{
    for (const auto& [session, link] : linkBySession_) {
        TicketsMessage message;
        message.session = session;
        message.isDraining = isDraining_;
        fillLoadReport(message);
        send(session, message);
    }
}

void AgentProcess::fillLoadReport(TicketsMessage& message) const
{
    message.load = load_;
    message.health = engineHealth();
    message.groupSkew = maps_ ? maps_->groupSkew() : 1;
    message.load.age += std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - loadReceivedAt_);
}

void AgentProcess::storeCacheEvents(const std::vector<CacheEvent>& events)
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

void AgentProcess::addCacheEvents(LinkedEntry& linkedEntry, TicketsMessage& message) const
{
    for (const CacheEvent& event : cacheEvents_) {
        if (event.sequence > linkedEntry.lastCacheEvent)
            message.cacheEvents.push_back(event);
    }
    linkedEntry.lastCacheEvent = lastCacheEvent_;
}

EngineHealth AgentProcess::engineHealth() const
{
    if (!isEngineAvailable_)
        return EngineHealth::Unavailable;
    bool isStalled = calls_.runningCalls() > 0 && clock_.now() - lastProgress_ > stallLimit;
    return isStalled ? EngineHealth::Stalled : EngineHealth::Good;
}

// Reports a health change to the entries immediately, so that they move their calls to other agents.
void AgentProcess::reportHealthChange()
{
    EngineHealth health = engineHealth();
    if (health == lastHealth_)
        return;
    lastHealth_ = health;
    reportLoad();
    if (health == EngineHealth::Stalled) {
        events_.record(EventKind::BackendServerEjected, settings_.name, "the engine makes no progress");
        LOG(WARNING) << "engine makes no progress with " << calls_.runningCalls() << " calls running";
    }
}

void AgentProcess::tick()
{
    calls_.tick();
    reportHealthChange();
    if (!isDraining_)
        return;
    DrainState state = calls_.drainState();
    if (state == DrainState::Overdue && !isOverdueReported_) {
        isOverdueReported_ = true;
        LOG(WARNING) << "drain limit exceeded with " << calls_.runningCalls() << " calls running; still waiting for them";
    }
    if (state == DrainState::Drained) {
        LOG(INFO) << "drained";
        loop_.stop();
    }
}

// A second signal has no effect, since calls in flight are always completed.
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
