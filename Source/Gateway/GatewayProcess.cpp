#include "Gateway/GatewayProcess.h"

#include "Core/Error.h"
#include "Forwarding/HeaderValues.h"
#include "Gateway/EntryAddresses.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 50 };
constexpr std::chrono::milliseconds maintenancePeriod { 500 };
constexpr std::chrono::milliseconds shutdownCheckPeriod { 100 };
// Minimum time between the start of a shutdown and the end of the process, so that callers can read a new address list.
// A shorter grace period takes precedence.
constexpr std::chrono::milliseconds minDrainTime { 3000 };
// After this time from the start of a shutdown, requests whose timeout ends after the process are refused. By then
// callers have had time to switch to another entry.
constexpr std::chrono::milliseconds unrestrictedAcceptTime { 2900 };
// Time to send the last responses before the process is killed.
constexpr std::chrono::milliseconds exitMargin { 400 };
constexpr std::chrono::milliseconds catalogResendPeriod { 500 };
constexpr std::chrono::milliseconds maxPeerReportAge { 1500 };
// Far below the memory of a small instance, and several times the responses that are in flight at its usual load.
constexpr std::size_t maxBufferedResponseBytes = 64U << 20U;
// A caller may state an invalid prompt in each of its requests.
constexpr std::chrono::seconds invalidPromptLogPeriod { 10 };
// Bounds what is logged of a value that a caller states.
constexpr std::size_t maxLoggedPrompt = 64;

// Each entry sends only a part of the requests to a server, so a few consecutive failures must be enough for an ejection.
OutlierSettings gatewayOutlierSettings()
{
    OutlierSettings settings;
    settings.consecutiveFailures = 3;
    settings.baseEjection = std::chrono::seconds(1);
    settings.maximumEjection = std::chrono::seconds(5);
    settings.rampUpTime = std::chrono::seconds(1);
    settings.initialShare = 0.3;
    return settings;
}

ColdServersSettings coldServersSettings(const GatewaySettings& settings)
{
    ColdServersSettings result;
    result.recordAge = settings.registryHeartbeat;
    return result;
}

ColdSharesSettings coldSharesSettings(const GatewaySettings& settings)
{
    PeerGroupSettings peers;
    ColdSharesSettings result;
    result.overage = settings.coldOverage;
    result.slack = settings.coldSlack;
    result.tickPeriod = tickPeriod;
    result.statePeriod = peers.statePeriod;
    result.peersPerState = peers.maxPeersPerPeriod;
    // An entry that shuts down sends on until its grace period ends.
    result.drainingPeerMemory = std::max<Duration>(result.drainingPeerMemory, 2 * settings.shutdownGrace);
    return result;
}

StreamCapacitySettings streamCapacitySettings(const GatewaySettings& settings)
{
    StreamCapacitySettings result;
    result.mode = settings.streamCapacity;
    result.statePeriod = PeerGroupSettings().statePeriod;
    result.retryPeriod = tickPeriod;
    return result;
}

// A copy of the registry lasts as long as a copy of the operator's rows, since both are in one store.
ZoneEvacuationsSettings zoneEvacuationsSettings()
{
    return { FleetViewSettings().copyLifetime };
}

std::uint64_t startTime(const Clock& clock)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(clock.wallNow().time_since_epoch()).count());
}

// Callers reuse connections until shortly before their idle timeout, so the server must keep connections open for longer.
HttpServerLimits callerServerLimits(const CallerLimits& limits)
{
    constexpr std::size_t headerBytesFactor = 4;
    constexpr std::chrono::seconds minIdleTimeout { 60 };
    HttpServerLimits result;
    result.maxHeaderBytes = limits.maxHeaderBytes * headerBytesFactor;
    result.maxBodyBytes = limits.maxBodyBytes;
    result.idleTimeout = std::max(minIdleTimeout, std::chrono::duration_cast<std::chrono::seconds>(limits.idleTimeout) * 2);
    return result;
}

QuarantineSettings quarantineSettings(Random& random)
{
    QuarantineSettings settings;
    settings.hashSeed = random.bits();
    return settings;
}

HttpResponse textResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = std::move(body);
    return response;
}

}

GatewayProcess::GatewayProcess(EventLoop& loop, const Clock& clock, Random& random, GatewaySettings settings, GatewayPlatform platform, DecisionLog& log)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , settings_(std::move(settings))
    , platform_(std::move(platform))
    , log_(log)
    , incarnation_(startTime(clock))
    , catalog_([this](const Catalog& catalog) { handleCatalogChange(catalog); })
    , evacuations_(clock, zoneEvacuationsSettings(), [this](const std::string& zone, bool isEvacuated, const EvacuationPosition& position, bool isFromPeer) { handleEvacuation(zone, isEvacuated, position, isFromPeer); })
    , fleet_(clock, {}, [this](const ServerRecord& server) { handleServerLeft(server); })
    , coldServers_(
          clock, coldServersSettings(settings_),
          [this](std::string_view service) {
              auto limit = coldLimits_.find(service);
              return limit == coldLimits_.end() ? ColdLimit {} : limit->second;
          },
          [this](const std::string& zone, bool isCold, std::size_t count) {
              log_.write(LogLine(isCold ? "serversCold" : "serversWarm").add("zone", zone).add("servers", static_cast<std::int64_t>(count)));
          })
    , coldShares_(clock, settings_.name, coldSharesSettings(settings_))
    , loads_(clock, maxPeerReportAge)
    , streamCapacity_(clock, fleet_, loads_, streamCapacitySettings(settings_), [this](const std::string& service, bool isActive) { handleStreamCapacity(service, isActive); })
    , outliers_(clock, gatewayOutlierSettings())
    , rateLimits_(clock, settings_.name, {}, [this](const std::string& serverId, double perSecond, bool isLocal) { handleRateLimit(serverId, perSecond, isLocal); })
    , serverSelector_(clock, fleet_, loads_, outliers_, rateLimits_, random, { settings_.availabilityZone })
    , pool_(clock, {}, [this] { return makeUpstreamConnection(loop_, platform_.names.requestId); })
    , responseBuffers_(maxBufferedResponseBytes)
    , retryBudget_(clock, { settings_.retryBudgetRatio, settings_.retryBudgetExtra, settings_.retryBudgetWindow })
    , responseTimes_({})
    , quarantine_(clock, settings_.name, quarantineSettings(random), [this](PromptPart part, QuarantineEvent event, std::uint32_t crashes, bool isLocal) { handleQuarantineEvent(part, event, crashes, isLocal); })
    , quarantineLog_(log)
    , crashDetector_(
          clock, quarantine_, [this] { return makeUpstreamConnection(loop_, platform_.names.requestId); }, {}, [this](const std::set<std::string>& excludedIds) { return selectWitness(excludedIds); })
    , context_ { clock, platform_.names, loads_, serverSelector_, rateLimits_, pool_, responseBuffers_, outliers_, retryBudget_, log, counters_, responseTimes_, callerAges_, platform_.decodePromptParts, quarantine_, crashDetector_, fleet_, {} }
    , forwarder_(loop, context_, catalog_, random)
{
    context_.onResponse = [this](const ServerRecord& server, const HttpResponse& head, TimePoint sentAt) { handleColdStatement(server, head, sentAt); };
    context_.onEventPause = [this](const ServerRecord& server, Duration pause) { streamCapacity_.recordPause(server, pause); };
    context_.streamWait = [this](const ServerSelectionRequest& request, const StreamWaitLimits& limits, std::uint64_t number) {
        return streamCapacity_.streamWait(request.service, { request.priority, request.isLate }, limits, number);
    };
    serverSelector_.addRule(makeEvacuationRule(evacuations_, settings_.mustKnowEvacuations));
    serverSelector_.addRule(makeColdServerRule(coldServers_, coldShares_, coldCounters_));
    serverSelector_.addRule(makeColdConnectionRule(coldServers_, coldShares_));
    serverSelector_.addRule(makeStreamCapacityRule(streamCapacity_));
    if (settings_.hasPrefixAffinity && platform_.decodePromptSegments)
        enablePrefixAffinity();
    PeerGroupSettings peerSettings;
    peerSettings.name = settings_.name;
    peerSettings.link = settings_.link;
    peerSettings.keys = settings_.linkKeys;
    peerSettings.availabilityZone = settings_.availabilityZone;
    PeerGroupHooks hooks;
    hooks.localState = [this] { return localState(); };
    hooks.onState = [this](const EntryStateMessage& state) { handlePeerState(state); };
    hooks.onCatalogText = [this](const std::string& text) { handlePeerCatalog(text); };
    hooks.onFleet = [this](const FleetMessage& message) {
        fleetReader_->handlePeerSnapshot(message);
        updateFleet();
    };
    hooks.onPeerChange = [this](const std::string& name, bool isAlive) {
        log_.write(LogLine(isAlive ? "peerGained" : "peerLost").add("peer", name));
    };
    peers_ = std::make_unique<PeerGroup>(loop_, clock_, random_, peerSettings, hooks);
    for (const Endpoint& seed : settings_.seedLinks)
        peers_->addAddress("seed " + formatEndpoint(seed), seed);
    auto onFleetReachable = [this](bool isReachable) { log_.write(LogLine(isReachable ? "registryRegained" : "registryLost").add("fleetAgeMs", fleetReader_->age().count())); };
    fleetReader_ = std::make_unique<FleetReader>(loop_, clock_, settings_.name, platform_.fleet, fleet_, *peers_, FleetReaderSettings {}, onFleetReachable);
    EntryRegistrationSettings registrationSettings;
    registrationSettings.name = settings_.name;
    registrationSettings.link = settings_.link;
    entryRegistration_ = std::make_unique<EntryRegistration>(loop_, platform_.table, *peers_, registrationSettings);
    quarantineRows_ = std::make_unique<QuarantineRows>(loop_, clock_, platform_.table, quarantine_, QuarantineRowsSettings {});
    CatalogFollowerHooks catalogHooks;
    catalogHooks.onReachable = [this](bool isReachable) { log_.write(LogLine(isReachable ? "catalogSourceRegained" : "catalogSourceLost").add("catalog", catalog_.version())); };
    catalogHooks.onReadFailed = [this](std::chrono::milliseconds elapsed) {
        log_.write(LogLine("catalogReadFailed").add("catalog", catalog_.version()).add("elapsedMs", elapsed.count()));
    };
    catalogHooks.onHistoryLost = [this](std::uint64_t revision) { log_.write(LogLine("catalogHistoryLost").add("catalog", catalog_.version()).add("revision", revision)); };
    catalogHooks.onEvacuations = [this](const EvacuationUpdate& update) { evacuations_.apply(update); };
    catalogHooks.isWatchedByPeer = [this] { return isCatalogWatchedByPeer(); };
    catalogFollower_ = std::make_unique<CatalogFollower>(clock_, random_, platform_.catalog, catalog_, CatalogFollowerSettings { settings_.catalogApplyBound }, catalogHooks);
    catalogFollower_->tick();

    callerServer_ = std::make_unique<HttpServer>(loop_, settings_.callers, callerServerLimits(CallerLimits {}), [this](std::shared_ptr<HttpExchange> exchange) { forwarder_.handle(std::move(exchange)); });
    readinessServer_ = std::make_unique<HttpServer>(loop_, settings_.readiness, HttpServerLimits {}, [this](std::shared_ptr<HttpExchange> exchange) {
        bool isKnownPath = pathOf(exchange->request().target) == settings_.readinessPath;
        int status = isReady() ? 200 : 503;
        exchange->respond(textResponse(isKnownPath ? status : 404, ""));
    });
    directoryServer_ = std::make_unique<HttpServer>(loop_, settings_.directory, HttpServerLimits {}, [this](std::shared_ptr<HttpExchange> exchange) { respondWithAddresses(*exchange); });
    metricsServer_ = std::make_unique<HttpServer>(loop_, settings_.metrics, HttpServerLimits {}, [this](std::shared_ptr<HttpExchange> exchange) {
        exchange->respond(textResponse(200, metricsText()));
    });
    tickTimer_ = loop_.every(tickPeriod, [this] { tick(); });
    maintenanceTimer_ = loop_.every(maintenancePeriod, [this] {
        updateFleet();
        rateLimits_.setPeers(peers_->knownNames());
        outliers_.evaluate();
        pool_.closeExpired();
        crashDetector_.removeExpired();
        streamCapacity_.removeExpired();
        log_.flush();
    });
    loop_.onTermination([this] { startShutdown(); });
    log_.write(LogLine("started").add("role", "gateway").add("version", DAMASKGRADE_VERSION).add("callers", formatEndpoint(settings_.callers)).add("zone", settings_.availabilityZone));
}

GatewayProcess::~GatewayProcess() = default;

void GatewayProcess::reload(const GatewaySettings& settings)
{
    settings_.addressLifetime = settings.addressLifetime;
    settings_.shutdownGrace = settings.shutdownGrace;
    retryBudget_.configure({ settings.retryBudgetRatio, settings.retryBudgetExtra, settings.retryBudgetWindow });
    log_.write(LogLine("reloaded").add("catalog", catalog_.version()).add("shutdownGraceMs", settings.shutdownGrace.count()));
}

void GatewayProcess::handleStoreGeneration(StoreGeneration generation)
{
    if (generation <= storeGeneration_)
        return;
    StoreGeneration previous = std::exchange(storeGeneration_, generation);
    if (previous == 0)
        return;
    log_.write(LogLine("storeHistoryReplaced").add("generation", generation).add("catalog", catalog_.version()));
    entryRegistration_->readAgain();
    quarantineRows_->writeAgain();
}

EntryStateMessage GatewayProcess::localState()
{
    EntryStateMessage state;
    state.incarnation = incarnation_;
    state.callers = settings_.callers;
    state.availabilityZone = settings_.availabilityZone;
    state.isReady = isReady();
    state.isDraining = isDraining_;
    state.catalog = catalogFollower_ ? catalogFollower_->knowledge() : CatalogKnowledge {};
    state.inFlight = loads_.localCounts();
    state.suspects = quarantine_.nextReports();
    state.rateLimits = rateLimits_.nextReports();
    state.leavingServers = fleet_.statedLeaving();
    state.evacuations = evacuations_.knowledge();
    if (fleetReader_) {
        state.fleetDigest = fleetReader_->digest();
        state.fleetPosition = fleet_.lastSnapshot().position;
        state.fleetAge = fleetReader_->age();
    }
    return state;
}

void GatewayProcess::handlePeerState(const EntryStateMessage& state)
{
    if (state.inFlight)
        loads_.setPeerCounts(state.name, *state.inFlight);
    quarantine_.applyReports(state.suspects);
    rateLimits_.applyReports(state.rateLimits);
    evacuations_.applyPeer(state.evacuations);
    coldShares_.recordPeer(state.name, state.link, state.isDraining);
    for (const ServerStart& server : state.leavingServers)
        fleet_.recordLeaving(server);
    fleetReader_->handlePeerState(state);
    catalogFollower_->handlePeer(state.catalog);
    if (state.catalog.version >= catalog_.version())
        return;
    TimePoint& sentAt = catalogSentAt_[state.name];
    if (clock_.now() - sentAt < catalogResendPeriod)
        return;
    sentAt = clock_.now();
    peers_->sendCatalog(state.name, catalog_.text());
}

void GatewayProcess::handleQuarantineEvent(PromptPart part, QuarantineEvent event, std::uint32_t crashes, bool isLocal)
{
    quarantineLog_.record(part, event, crashes, isLocal);
    if (!isQuarantineFlushPosted_) {
        isQuarantineFlushPosted_ = true;
        loop_.post([this] {
            isQuarantineFlushPosted_ = false;
            quarantineLog_.flush();
        });
    }
    if (!isLocal)
        return;
    sendStateSoon();
    bool isStored = event == QuarantineEvent::Blocked || event == QuarantineEvent::Unblocked;
    if (isStored && quarantineRows_)
        quarantineRows_->update(part);
}

void GatewayProcess::handleRateLimit(const std::string& serverId, double perSecond, bool isLocal)
{
    constexpr double secondsPerMinute = 60;
    log_.write(LogLine("serverRateLimit").add("server", serverId).add("requestsPerMinute", static_cast<std::int64_t>(perSecond * secondsPerMinute)).add("fromPeer", !isLocal));
    if (isLocal)
        sendStateSoon();
}

// Sends one message for all changes of one turn of the event loop.
void GatewayProcess::sendStateSoon()
{
    if (isStateSendPosted_)
        return;
    isStateSendPosted_ = true;
    loop_.post([this] {
        isStateSendPosted_ = false;
        peers_->sendState();
    });
}

void GatewayProcess::handlePeerCatalog(const std::string& text)
{
    catalog_.applyIfNewer(platform_.catalog.decode(text));
}

// Of the entries that reach the source, the first by name watches it. Because the states of peers arrive with a delay, two
// entries may do so for a short time.
bool GatewayProcess::isCatalogWatchedByPeer() const
{
    std::vector<EntryStateMessage> alive = peers_->alive();
    return std::any_of(alive.begin(), alive.end(), [this](const EntryStateMessage& peer) {
        return peer.isReady && !peer.isDraining && peer.name < settings_.name && catalogFollower_->isReader(peer.catalog);
    });
}

void GatewayProcess::handleCatalogChange(const Catalog& catalog)
{
    LogLine line("catalogInForce");
    line.add("catalog", catalog.version()).add("routes", static_cast<std::int64_t>(catalog.routes().size()));
    line.add("requiresKey", catalog.requiresKey()).add("customers", static_cast<std::int64_t>(catalog.customerCount())).add("keys", static_cast<std::int64_t>(catalog.keyCount()));
    log_.write(line);
    coldLimits_.clear();
    double zoneDelayMilliseconds = 0;
    for (const ServiceSpecification& service : catalog.services()) {
        if (service.engine)
            zoneDelayMilliseconds = std::max(zoneDelayMilliseconds, service.engine->zoneDelayMilliseconds);
        if (service.coldRequestsPerSecond > 0)
            coldLimits_[service.name] = { service.coldRequestsPerSecond, service.coldStartTime };
    }
    coldShares_.setZoneDelay(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(zoneDelayMilliseconds)));
    streamCapacity_.applyCatalog(catalog);
    // The first catalog can arrive before the HTTP server for callers is created.
    if (callerServer_)
        callerServer_->setLimits(callerServerLimits(catalog.limits()));
    if (peers_)
        peers_->sendState();
}

// What a peer has told is not sent on at once, because the peer tells the others itself.
void GatewayProcess::handleEvacuation(const std::string& zone, bool isEvacuated, const EvacuationPosition& position, bool isFromPeer)
{
    const auto& servers = fleet_.servers();
    auto isAffected = [&zone](const auto& entry) { return entry.second.availabilityZone == zone; };
    LogLine line(isEvacuated ? "evacuationStarted" : "evacuationEnded");
    line.add("zone", zone).add("generation", position.generation).add("revision", position.revision).add("fromPeer", isFromPeer);
    line.add("servers", static_cast<std::int64_t>(std::count_if(servers.begin(), servers.end(), isAffected)));
    log_.write(line);
    if (!isEvacuated)
        coldServers_.recordEvacuationEnd(zone, servers);
    if (!isFromPeer)
        sendStateSoon();
}

// Where no service has a limit, nothing is updated. When one gets a limit, the gap in the updates has the effect of a start.
void GatewayProcess::updateColdServers()
{
    if (coldLimits_.empty())
        return;
    coldShares_.tick(peers_->addresses(), entryRegistration_->hasReadRows(), entryRegistration_->wasListed());
    // The age of what is known of the servers changes with many states of peers, so not each of these changes is worth an update.
    if (fleet_.asOf() - coldEvidenceAsOf_ >= PeerGroupSettings().statePeriod) {
        coldEvidenceAsOf_ = fleet_.asOf();
        coldServers_.update(fleet_.servers(), fleet_.asOf());
    }
    bool isAbstaining = coldShares_.isAbstaining();
    if (std::exchange(wasAbstaining_, isAbstaining) != isAbstaining)
        log_.write(LogLine(isAbstaining ? "coldShareSuspended" : "coldShareResumed").add("entries", static_cast<std::int64_t>(coldShares_.knownCount())));
}

// Another server may have sent a refusal as misdirected, and only a signed response is sure to be the server's.
void GatewayProcess::handleColdStatement(const ServerRecord& server, const HttpResponse& head, TimePoint sentAt)
{
    std::optional<std::chrono::milliseconds> remaining = parseMilliseconds(findHeader(head.headers, platform_.names.remainingWarmUp));
    if (!remaining || head.status == statusMisdirected)
        return;
    bool isSigned = findHeader(head.headers, platform_.names.signature).has_value();
    if (*remaining > std::chrono::milliseconds::zero() || isSigned)
        coldServers_.recordResponse(server, *remaining, sentAt);
}

void GatewayProcess::handleStreamCapacity(const std::string& service, bool isActive)
{
    log_.write(LogLine(isActive ? "streamCapacityStarted" : "streamCapacityEnded").add("service", service).add("catalog", catalog_.version()));
}

// Selects a random server, so that a server which is down as well is not selected each time.
std::optional<ServerRecord> GatewayProcess::selectWitness(const std::set<std::string>& excludedIds) const
{
    std::vector<const ServerRecord*> candidates;
    for (const auto& [id, server] : fleet_.servers()) {
        if (!server.isDraining && excludedIds.count(id) == 0)
            candidates.push_back(&server);
    }
    return candidates.empty() ? std::nullopt : std::optional(*candidates[random_.index(candidates.size())]);
}

void GatewayProcess::handleServerLeft(const ServerRecord& server)
{
    log_.write(LogLine(server.isDraining ? "serverDrains" : "serverGone").add("server", server.id).add("service", server.service).add("address", formatEndpoint(server.address)));
    pool_.closeIdleConnections(server.id);
    sendStateSoon();
}

void GatewayProcess::enablePrefixAffinity()
{
    PrefixAffinitySettings settings;
    settings.index.retention = settings_.promptRetention;
    PrefixAffinityHooks hooks;
    hooks.findEngine = [this](std::string_view service) -> std::optional<EngineModel> {
        CatalogPointer catalog = catalog_.current();
        const ServiceSpecification* specification = catalog ? catalog->findService(service) : nullptr;
        return specification ? specification->engine : std::nullopt;
    };
    hooks.isSound = [this](const ServerRecord& server) { return outliers_.admissionShare(server.id) >= 1; };
    prefixAffinity_ = std::make_unique<PrefixAffinity>(clock_, fleet_, loads_, settings, std::move(hooks));
    serverSelector_.addRule(prefixAffinity_->makeRule());
    context_.decodePromptSegments = [this](std::string_view text) { return decodePrompt(text); };
    log_.write(LogLine("prefixAffinityEnabled").add("promptRetentionMs", settings_.promptRetention.count()).add("memoryBytes", std::uint64_t { prefixAffinity_->index().memoryBytes() }));
}

std::vector<PromptSegment> GatewayProcess::decodePrompt(std::string_view text)
{
    DecodedPrompt prompt = platform_.decodePromptSegments(text);
    if (!prompt.isValid) {
        ++invalidPrompts_;
        if (!invalidPromptLoggedAt_ || clock_.now() - *invalidPromptLoggedAt_ >= invalidPromptLogPeriod) {
            invalidPromptLoggedAt_ = clock_.now();
            log_.write(LogLine("promptInvalid").add("header", platform_.names.promptParts).add("invalidPart", std::uint64_t { prompt.segments.size() + 1 }).add("value", text.substr(0, maxLoggedPrompt)));
        }
    }
    return std::move(prompt.segments);
}

bool GatewayProcess::isReady() const
{
    return !isDraining_ && catalog_.current() && fleet_.hasData() && (evacuations_.isKnown() || !settings_.mustKnowEvacuations);
}

void GatewayProcess::respondWithAddresses(HttpExchange& exchange)
{
    std::vector<DirectoryEntry> entries;
    if (isReady())
        entries.push_back({ settings_.callers, settings_.availabilityZone });
    for (const EntryStateMessage& peer : peers_->alive()) {
        if (peer.isReady && !peer.isDraining)
            entries.push_back({ peer.callers, peer.availabilityZone });
    }
    AddressResponse directoryResponse;
    directoryResponse.lifetime = settings_.addressLifetime;
    directoryResponse.addresses = selectEntriesForCaller(entries, platform_.decodeCallerZone(exchange.request()));
    exchange.respond(platform_.encodeAddresses(exchange.request(), directoryResponse));
}

std::string GatewayProcess::metricsText() const
{
    MetricsPage page;
    page.addCounter("damaskgrade_requests_total", "Requests of callers.", static_cast<double>(counters_.requests));
    page.addCounter("damaskgrade_requests_succeeded_total", "Requests that were answered with success.", static_cast<double>(counters_.succeeded));
    page.addCounter("damaskgrade_requests_late_total", "Requests that were answered after a target of their route.", static_cast<double>(counters_.late));
    page.addCounter("damaskgrade_requests_refused_total", "Requests that were refused as not executed.", static_cast<double>(counters_.refused));
    page.addCounter("damaskgrade_requests_failed_total", "Requests that failed with an unknown outcome.", static_cast<double>(counters_.failed));
    page.addCounter("damaskgrade_requests_quarantined_total", "Requests refused because a part of their prompt may crash servers.", static_cast<double>(counters_.quarantined));
    page.addCounter("damaskgrade_server_pauses_total", "Refusals in which a server asked for a pause.", static_cast<double>(counters_.serverPauses));
    page.addCounter("damaskgrade_requests_cancelled_total", "Requests whose caller left.", static_cast<double>(counters_.cancelled));
    page.addCounter("damaskgrade_streams_cut_total", "Streams that were broken off.", static_cast<double>(counters_.cutStreams));
    page.addCounter("damaskgrade_streams_resumed_total", "Streams that were continued at another server.", static_cast<double>(counters_.resumedStreams));
    page.addCounter("damaskgrade_repeated_sends_total", "Sends after the first of a request.", static_cast<double>(counters_.repeatedSends));
    page.addCounter("damaskgrade_events_total", "Events of streams passed on.", static_cast<double>(counters_.events));
    page.addCounter("damaskgrade_foreign_responses_total", "Responses that belonged to another request.", static_cast<double>(counters_.foreignResponses));
    page.addCounter("damaskgrade_upstream_connections_total", "Connections opened to backend servers.", static_cast<double>(pool_.counters().opened));
    page.addCounter("damaskgrade_upstream_connection_failures_total", "Connections to backend servers that failed.", static_cast<double>(pool_.counters().failed));
    page.addCounter("damaskgrade_log_lines_dropped_total", "Log lines left out.", static_cast<double>(log_.droppedLines()));
    page.addGauge("damaskgrade_requests_in_flight", "Requests that are not answered yet.", static_cast<double>(forwarder_.activeCount()));
    page.addGauge("damaskgrade_catalog_version", "Version of the catalog in force.", static_cast<double>(catalog_.version()));
    page.addGauge("damaskgrade_fleet_age_seconds", "Age of what is known of the backend servers.", std::chrono::duration<double>(fleetReader_->age()).count());
    page.addGauge("damaskgrade_servers", "Backend servers listed.", static_cast<double>(fleet_.servers().size()));
    page.addGauge("damaskgrade_servers_ejected", "Backend servers ejected.", static_cast<double>(outliers_.ejectedCount()));
    page.addGauge("damaskgrade_prompt_parts_suspected", "Prompt parts that are probed or blocked.", static_cast<double>(quarantine_.suspectCount()));
    page.addGauge("damaskgrade_servers_rate_limited", "Backend servers that state a rate limit.", static_cast<double>(rateLimits_.limitCount()));
    page.addGauge("damaskgrade_zones_evacuated", "Availability zones that the operator has asked to evacuate.", static_cast<double>(evacuations_.zones().size()));
    Duration longestEvacuation { 0 };
    for (const auto& [zone, since] : evacuations_.zones())
        longestEvacuation = std::max(longestEvacuation, clock_.now() - since);
    page.addGauge("damaskgrade_evacuation_seconds", "Time since the first of the evacuations in force became known.", std::chrono::duration<double>(longestEvacuation).count());
    page.addCounter("damaskgrade_cold_sends_total", "Requests sent to cold backend servers.", static_cast<double>(coldCounters_.sends));
    page.addCounter("damaskgrade_cold_exclusions_total", "Selections in which a cold backend server was excluded.", static_cast<double>(coldCounters_.exclusions));
    page.addGauge("damaskgrade_servers_cold", "Backend servers that are cold.", static_cast<double>(coldServers_.coldCount()));
    page.addGauge("damaskgrade_cold_share_suspended", "1 if this entry may not send to any cold server.", !coldLimits_.empty() && coldShares_.isAbstaining() ? 1 : 0);
    if (prefixAffinity_)
        addPrefixMetrics(page);
    std::map<std::string, double> requestMilliseconds = streamCapacity_.requestMilliseconds();
    double highestCost = 0;
    for (const auto& [service, cost] : requestMilliseconds)
        highestCost = std::max(highestCost, cost);
    page.addGauge("damaskgrade_stream_capacity_services", "Services whose requests in flight are bounded so that streams are on time.", static_cast<double>(requestMilliseconds.size()));
    page.addGauge("damaskgrade_stream_request_cost_seconds", "Highest estimate among these services of the time by which a request extends a pass.", highestCost / 1000);
    page.addCounter("damaskgrade_stream_pauses_measured_total", "Pauses between events from which the bound was estimated.", static_cast<double>(streamCapacity_.recordedPauses()));
    page.addGauge("damaskgrade_peers_alive", "Other entries that are alive.", static_cast<double>(peers_->aliveCount()));
    return page.text();
}

void GatewayProcess::addPrefixMetrics(MetricsPage& page) const
{
    const PrefixAffinityCounters& counters = prefixAffinity_->counters();
    const PrefixIndex& index = prefixAffinity_->index();
    page.addCounter("damaskgrade_prefix_sends_total", "Sends of requests that state their prompt, on routes with sticky sessions.", static_cast<double>(counters.sends));
    page.addCounter("damaskgrade_prefix_sends_to_holders_total", "The sends of these to a server that was expected to hold a part of the prompt.", static_cast<double>(counters.sendsToHolders));
    page.addCounter("damaskgrade_prefix_expected_tokens_total", "Prompt tokens that servers were expected to hold.", counters.expectedTokens);
    page.addCounter("damaskgrade_prefix_evictions_total", "Prompt prefixes that were dropped because the table was full.", static_cast<double>(index.evictionCount()));
    page.addCounter("damaskgrade_prefix_invalid_prompts_total", "Requests whose prompt parts were invalid.", static_cast<double>(invalidPrompts_));
    page.addGauge("damaskgrade_prefix_entries", "Prompt prefixes at servers in the table.", static_cast<double>(index.entryCount()));
}

void GatewayProcess::tick()
{
    std::size_t entries = std::max(peers_->knownCount(), peers_->addressCount()) + 1;
    retryBudget_.setEntryCount(entries);
    serverSelector_.setEntryCount(entries, peers_->knownCountIn(settings_.availabilityZone) + 1);
    streamCapacity_.setEntryCount(peers_->knownCount() + 1);
    quarantine_.setIsolated(2 * peers_->aliveCount() < peers_->knownCount());
    catalogFollower_->tick();
    updateColdServers();
    forwarder_.tick();
}

// Updates the outlier detector and the connection pool after changes of the fleet.
void GatewayProcess::updateFleet()
{
    std::set<std::string> present;
    for (const auto& [id, server] : fleet_.servers()) {
        present.insert(id);
        if (knownServers_.count(id) == 0)
            outliers_.add(id, server.service);
    }
    for (const std::string& id : knownServers_) {
        if (present.count(id) == 0) {
            outliers_.remove(id);
            rateLimits_.forget(id);
            if (prefixAffinity_)
                prefixAffinity_->forget(id);
            pool_.closeIdleConnections(id);
        }
    }
    knownServers_ = std::move(present);
    if (!coldLimits_.empty())
        coldServers_.update(fleet_.servers(), fleet_.asOf());
    coldShares_.removeOldSends();
}

void GatewayProcess::startShutdown()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    drainStartedAt_ = clock_.now();
    log_.write(LogLine("shutdownStarted").add("inFlight", static_cast<std::int64_t>(forwarder_.activeCount())));
    callerServer_->closeAfterResponses();
    coldShares_.end();
    entryRegistration_->unregister();
    peers_->sendState();
    shutdownTimer_ = loop_.every(shutdownCheckPeriod, [this] { continueShutdown(); });
}

void GatewayProcess::continueShutdown()
{
    Duration elapsed = clock_.now() - drainStartedAt_;
    if (elapsed >= unrestrictedAcceptTime) {
        forwarder_.setShutdownTime(drainStartedAt_ + settings_.shutdownGrace - exitMargin);
        // Idle connections of callers would delay the end of this process, and so its restart.
        callerServer_->closeIdle();
    }
    bool isIdle = forwarder_.activeCount() == 0 && callerServer_->counters().openConnections == 0 && elapsed >= minDrainTime;
    if (!isIdle && elapsed < settings_.shutdownGrace - exitMargin)
        return;
    log_.write(LogLine("stopped").add("inFlight", static_cast<std::int64_t>(forwarder_.activeCount())));
    log_.flush();
    loop_.stop();
}

}
