#include "Entry/EntryProcess.h"

#include "Configuration/Document.h"
#include "Core/Error.h"
#include "Entry/EntryReports.h"
#include "Entry/ProblemDetails.h"

#include <glog/logging.h>

#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 10 };
constexpr std::chrono::milliseconds instancePollPeriod { 500 };
// Callers may cache an address for this long (R21). A draining entry therefore keeps serving at least as long.
constexpr std::chrono::seconds addressLifetime { 5 };
constexpr std::chrono::microseconds assumedZoneLatency { 500 };
// Number of agents that an entry links to, and the minimum for each model or service (see docs/CAPACITY.md).
constexpr std::size_t agentSubsetSize = 24;
constexpr std::size_t minAgentsPerService = 4;

}

EntryProcess::EntryProcess(EventLoop& loop, const Clock& clock, Random& random, EntrySettings settings)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , settings_(std::move(settings))
    , incarnation_(random.identifier())
    , hybridClock_(clock)
    , table_(loop, settings_.platform, settings_.platformTimeout)
    , instanceList_(loop, settings_.platform, settings_.platformTimeout)
    , objects_(loop, settings_.platform, settings_.platformTimeout)
    , events_(hybridClock_, recorderOptions())
    , timeline_(loop, clock, objects_, events_)
    , calls_(clock, random, hybridClock_, table_, settings_.availabilityZone, callHooks())
    , callerApi_(clock, random, calls_, callerHooks())
    , agents_(loop, random, settings_.linkKeys, agentLinkHooks())
    , maps_(clock, random, hybridClock_, table_, events_, settings_.name, [this](const std::string& agent, const Frame& frame) { agents_.send(agent, frame); })
    , latencies_(assumedZoneLatency)
    , addresses_(latencies_, random, AddressSettings())
    , subset_(agentSubsetSize, minAgentsPerService)
{
    peers_ = std::make_unique<PeerLinks>(loop_, random_, hybridClock_, hello(), settings_.link, settings_.linkKeys,
        [this](const std::string& peer, const Frame& frame) { configuration_->receive(peer, frame); });
    configuration_ = std::make_unique<ConfigurationNode>(loop_, clock_, random_, hybridClock_, table_, settings_, configurationHooks());
    administration_ = std::make_unique<AdministrationApi>(loop_, clock_, random_, configuration_->protocol(), administrationHooks());
    http_ = std::make_unique<HttpServer>(loop_, settings_.callers, HttpServerLimits(),
        [this](const std::shared_ptr<HttpExchange>& exchange) { serve(exchange); });
    tickTimer_ = loop_.every(tickPeriod, [this] { tick(); });
    instanceTimer_ = loop_.every(instancePollPeriod, [this] { pollInstances(); });
    loop_.onTermination([this] { beginDrain(); });
    pollInstances();
    events_.record(EventKind::ProcessStarted, settings_.name, "entry in " + settings_.availabilityZone);
}

EntryProcess::~EntryProcess() = default;

EventRecorderOptions EntryProcess::recorderOptions() const
{
    EventRecorderOptions options;
    options.instance = settings_.name;
    options.incarnation = incarnation_;
    return options;
}

HelloMessage EntryProcess::hello() const
{
    HelloMessage message;
    message.name = settings_.name;
    message.incarnation = incarnation_;
    message.availabilityZone = settings_.availabilityZone;
    message.role = "entry";
    return message;
}

CallServiceHooks EntryProcess::callHooks()
{
    CallServiceHooks hooks;
    hooks.send = [this](const std::string& agent, const Frame& frame) { return agents_.send(agent, frame); };
    hooks.configurationVersion = [this] { return configuration_->admission().version; };
    return hooks;
}

CallerApiHooks EntryProcess::callerHooks()
{
    CallerApiHooks hooks;
    hooks.admission = [this] { return admission(); };
    hooks.configuration = [this]() -> const Document& { return document_; };
    return hooks;
}

ConfigurationNodeHooks EntryProcess::configurationHooks()
{
    ConfigurationNodeHooks hooks;
    hooks.send = [this](const std::string& peer, const Frame& frame) { peers_->send(peer, frame); };
    hooks.onInForce = [this](const DocumentPointer& document) { applyDocument(document); };
    return hooks;
}

ProcessLinkHooks EntryProcess::agentLinkHooks()
{
    ProcessLinkHooks hooks;
    hooks.onOpen = [this](const std::string& agent) { agents_.send(agent, encodeMessage(hello(), hybridClock_.tick())); };
    hooks.onFrame = [this](const std::string& agent, const Frame& frame) { receiveFromAgent(agent, frame); };
    hooks.onClose = [this](const std::string& agent) { calls_.agentDisconnected(agent); };
    return hooks;
}

AdministrationHooks EntryProcess::administrationHooks()
{
    AdministrationHooks hooks;
    hooks.validate = [](const ConfigurationText& text) { parseDocument(text); };
    hooks.status = [this] { return statusJson(); };
    hooks.timeline = [this] { return encodeTimelineBatch(events_.liveBatch()); };
    return hooks;
}

void EntryProcess::receiveFromAgent(const std::string& agent, const Frame& frame)
{
    hybridClock_.observe(frame.time);
    if (frame.type == HelloMessage::type) {
        HelloMessage hello = decodeHello(frame.body);
        calls_.agentConnected(hello);
        maps_.agentConnected(hello);
    } else if (!maps_.receive(frame)) {
        calls_.receive(agent, frame);
    }
}

void EntryProcess::applyDocument(const DocumentPointer& document)
{
    document_ = parseDocument(document->text);
    calls_.configure(document_);
    maps_.apply(document_);
    LOG(INFO) << "configuration version " << document->version << " is in force";
    events_.record(EventKind::ConfigurationInForce, document->changeId, "version " + std::to_string(document->version));
}

// Keeps using the last list while the platform is unavailable.
void EntryProcess::pollInstances()
{
    instanceList_.fetch([this](ResultCode code, const std::vector<InstanceRecord>& instances) {
        if (code == ResultCode::Ok)
            applyInstances(instances);
    });
}

void EntryProcess::applyInstances(const std::vector<InstanceRecord>& instances)
{
    instances_ = instances;
    configuration_->membership().observeInstanceList(instances);
    peers_->update(instances);
    std::vector<SubsetAgent> candidates;
    std::map<std::string, Endpoint> endpoints;
    for (const InstanceRecord& record : instances) {
        if (record.role != InstanceRole::BackendServer)
            continue;
        candidates.push_back({ record.name, record.availabilityZone, record.serves });
        endpoints[record.name] = record.link;
        calls_.setAgentDraining(record.name, record.state == InstanceState::Draining);
    }
    std::map<std::string, Endpoint> targets;
    for (const std::string& name : subset_.select(settings_.name, candidates))
        targets[name] = endpoints[name];
    agents_.setTargets(targets);
}

ResultCode EntryProcess::admission() const
{
    if (isDraining_)
        return ResultCode::InstanceDraining;
    return configuration_->admission().isAllowed ? ResultCode::Ok : ResultCode::NotReady;
}

void EntryProcess::serve(const std::shared_ptr<HttpExchange>& exchange)
{
    std::string_view path = pathOf(exchange->request().target);
    if (path == "/v1/addresses")
        serveAddresses(*exchange);
    else if (path == "/metrics")
        exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText() });
    else if (path == "/healthz" || path == "/readyz")
        serveHealth(*exchange, path);
    else if (administration_->handle(exchange))
        return;
    else if (exchange->request().method == "POST")
        callerApi_.handle(exchange);
    else
        exchange->respond(problemResponse(ResultCode::UnknownRoute, Executed::No, "unknown path"));
}

void EntryProcess::serveAddresses(HttpExchange& exchange)
{
    std::vector<EntryAddress> entries;
    for (const InstanceRecord& record : instances_) {
        if (record.role != InstanceRole::Entry)
            continue;
        EntryAddress entry;
        entry.name = record.name;
        entry.availabilityZone = record.availabilityZone;
        entry.callers = record.callers;
        PeerStatus peer = configuration_->membership().status(record.name);
        bool isSelf = record.name == settings_.name;
        entry.isDraining = record.state == InstanceState::Draining || (isSelf ? isDraining_ : peer.isDraining);
        entry.isSuspected = !isSelf && peer.state != PeerState::Alive;
        entries.push_back(entry);
    }
    std::string zone = queryParameter(exchange.request().target, "zone").value_or("");
    HttpResponse response;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.headers.push_back({ "Cache-Control", "max-age=" + std::to_string(addressLifetime.count()) });
    response.body = addressesJson(addresses_.select(zone, entries));
    exchange.respond(std::move(response));
}

void EntryProcess::serveHealth(HttpExchange& exchange, std::string_view path)
{
    ResultCode code = path == "/healthz" ? ResultCode::Ok : admission();
    std::string reason = code == ResultCode::Ok ? "ok" : std::string(resultName(code));
    if (code == ResultCode::NotReady)
        reason += ": " + configuration_->admission().reason;
    exchange.respond({ httpStatus(code), {}, reason + "\n" });
}

// Returns the limit from the configuration in force, or from the settings if there is none yet.
std::chrono::seconds EntryProcess::drainLimit() const
{
    return configuration_->protocol().inForce() ? document_.onCall.drainLimit : settings_.drainLimit;
}

void EntryProcess::recordAdmission()
{
    Admission state = configuration_->admission();
    if (state.isAllowed == wasAdmitting_)
        return;
    wasAdmitting_ = state.isAllowed;
    events_.record(state.isAllowed ? EventKind::AdmissionResumed : EventKind::AdmissionStopped, settings_.name, state.reason);
    LOG(INFO) << (state.isAllowed ? "admitting new work" : "not admitting new work: " + state.reason);
}

void EntryProcess::recordPeers()
{
    for (const std::string& slot : configuration_->membership().slots()) {
        PeerState state = configuration_->membership().status(slot).state;
        PeerState& last = peerStates_[slot];
        if (slot == settings_.name || state == last)
            continue;
        bool isSuspected = state == PeerState::Suspected;
        if (isSuspected || last == PeerState::Suspected)
            events_.record(isSuspected ? EventKind::InstanceSuspected : EventKind::InstanceRecovered, slot, "");
        last = state;
    }
}

void EntryProcess::tick()
{
    calls_.tick();
    maps_.tick();
    recordAdmission();
    recordPeers();
    if (!isDraining_)
        return;
    Duration elapsed = clock_.now() - drainStartedAt_;
    if (elapsed > drainLimit() && !isOverdueReported_) {
        isOverdueReported_ = true;
        LOG(WARNING) << "drain limit exceeded with " << calls_.activeCalls() << " calls running; still waiting for them";
    }
    bool isWorking = calls_.activeCalls() > 0 || http_->counters().activeResponses > 0;
    if (elapsed < addressLifetime || isWorking)
        return;
    LOG(INFO) << "drained";
    loop_.stop();
}

// A second signal has no effect, since calls in flight are always completed.
void EntryProcess::beginDrain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    drainStartedAt_ = clock_.now();
    configuration_->membership().startDraining();
    http_->closeAfterResponses();
    events_.record(EventKind::DrainStarted, settings_.name, std::to_string(calls_.activeCalls()) + " calls running");
    LOG(INFO) << "draining with " << calls_.activeCalls() << " calls running";
}

std::string EntryProcess::metricsText() const
{
    EntryCounters counters;
    counters.calls = &calls_;
    counters.maps = &maps_;
    counters.http = &http_->counters();
    counters.peerClients = peers_->clientCounters();
    counters.peerServer = peers_->serverCounters();
    counters.agents = agents_.counters();
    counters.configurationVersion = configuration_->admission().version;
    counters.isAdmitting = admission() == ResultCode::Ok;
    return entryMetrics(counters);
}

std::string EntryProcess::statusJson() const
{
    EntryStatus status;
    status.name = settings_.name;
    status.incarnation = incarnation_;
    status.availabilityZone = settings_.availabilityZone;
    status.isDraining = isDraining_;
    status.admission = configuration_->admission();
    status.activeCalls = calls_.activeCalls();
    for (const std::string& slot : configuration_->membership().slots())
        status.peers.push_back(configuration_->membership().status(slot));
    status.groups = maps_.statusJson();
    status.servers = &calls_.servers();
    status.outliers = &calls_.outliers();
    return entryStatusJson(status);
}

}
