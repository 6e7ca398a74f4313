#pragma once

#include "Catalog/CatalogFollower.h"
#include "ColdServers/ColdServers.h"
#include "ColdServers/ColdShares.h"
#include "Core/Clock.h"
#include "Core/Random.h"
#include "Evacuation/ZoneEvacuations.h"
#include "Forwarding/ForwardingContext.h"
#include "Gateway/EntryRegistration.h"
#include "Gateway/FleetReader.h"
#include "Gateway/Forwarder.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/QuarantineLog.h"
#include "Gateway/QuarantineRows.h"
#include "Gateway/SelectionRules.h"
#include "Metrics/MetricsPage.h"
#include "Peers/PeerGroup.h"
#include "Platform/Table.h"
#include "PrefixAffinity/PrefixAffinity.h"
#include "StreamCapacity/StreamCapacity.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// The response to a caller's request for entry addresses.
struct AddressResponse {
    std::vector<Endpoint> addresses;
    std::chrono::milliseconds lifetime { 0 };
};

// The interfaces of the platform that a gateway uses.
struct GatewayPlatform {
    CatalogSource& catalog;
    FleetSource& fleet;
    Table& table;
    HeaderNames names;
    PromptPartsDecoder decodePromptParts;
    // Returns the availability zone of the caller that requests entry addresses; empty if it is not stated.
    std::function<std::string(const HttpRequest&)> decodeCallerZone;
    // Encodes the response with the entry addresses, or an error response if there is no address.
    std::function<HttpResponse(const HttpRequest&, const AddressResponse&)> encodeAddresses;
    // Decodes all parts of a prompt with their lengths from the value of the header with its parts.
    std::function<DecodedPrompt(std::string_view)> decodePromptSegments {};
};

// An entry that forwards requests to backend servers itself. Creates and connects the components, and shuts down
// gracefully on a termination signal.
class GatewayProcess {
public:
    GatewayProcess(EventLoop& loop, const Clock& clock, Random& random, GatewaySettings settings, GatewayPlatform platform, DecisionLog& log);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // Applies the settings that can change at run time. Listen addresses are not changed.
    void reload(const GatewaySettings& settings);

    // Handles the generation that the store has stated. Lower generations than before, of late responses, are ignored.
    void handleStoreGeneration(StoreGeneration generation);

private:
    EntryStateMessage localState();
    void handleQuarantineEvent(PromptPart part, QuarantineEvent event, std::uint32_t crashes, bool isLocal);
    void handleRateLimit(const std::string& serverId, double perSecond, bool isLocal);
    void sendStateSoon();
    void handlePeerState(const EntryStateMessage& state);
    void handlePeerCatalog(const std::string& text);
    bool isCatalogWatchedByPeer() const;
    void handleCatalogChange(const Catalog& catalog);
    void updateColdServers();
    void handleColdStatement(const ServerRecord& server, const HttpResponse& head, TimePoint sentAt);
    void handleEvacuation(const std::string& zone, bool isEvacuated, const EvacuationPosition& position, bool isFromPeer);
    void handleStreamCapacity(const std::string& service, bool isActive);
    std::optional<ServerRecord> selectWitness(const std::set<std::string>& excludedIds) const;
    void handleServerLeft(const ServerRecord& server);
    void enablePrefixAffinity();
    std::vector<PromptSegment> decodePrompt(std::string_view text);
    void addPrefixMetrics(MetricsPage& page) const;
    bool isReady() const;
    void respondWithAddresses(HttpExchange& exchange);
    std::string metricsText() const;
    void tick();
    void updateFleet();
    void startShutdown();
    void continueShutdown();

    EventLoop& loop_;
    const Clock& clock_;
    Random& random_;
    GatewaySettings settings_;
    GatewayPlatform platform_;
    DecisionLog& log_;
    std::uint64_t incarnation_;

    // Limits of the services that have one.
    std::map<std::string, ColdLimit, std::less<>> coldLimits_;
    CatalogHolder catalog_;
    ZoneEvacuations evacuations_;
    FleetView fleet_;
    ColdServers coldServers_;
    ColdShares coldShares_;
    ColdServerCounters coldCounters_;
    InFlightTracker loads_;
    StreamCapacity streamCapacity_;
    OutlierDetector outliers_;
    ServerRateLimits rateLimits_;
    // Null unless the setting is on. Requests use it until they are destroyed.
    std::unique_ptr<PrefixAffinity> prefixAffinity_;
    ServerSelector serverSelector_;
    UpstreamPool pool_;
    ResponseBuffers responseBuffers_;
    ServiceRetryBudget retryBudget_;
    ForwardingCounters counters_;
    ResponseTimes responseTimes_;
    CallerAgeEstimator callerAges_;
    PromptQuarantine quarantine_;
    QuarantineLog quarantineLog_;
    bool isQuarantineFlushPosted_ { false };
    CrashDetector crashDetector_;
    ForwardingContext context_;
    Forwarder forwarder_;

    std::unique_ptr<PeerGroup> peers_;
    std::unique_ptr<FleetReader> fleetReader_;
    std::unique_ptr<EntryRegistration> entryRegistration_;
    std::unique_ptr<QuarantineRows> quarantineRows_;
    std::unique_ptr<CatalogFollower> catalogFollower_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> directoryServer_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::unique_ptr<Timer> tickTimer_;
    std::unique_ptr<Timer> maintenanceTimer_;
    std::unique_ptr<Timer> shutdownTimer_;
    std::map<std::string, TimePoint> catalogSentAt_;
    std::set<std::string> knownServers_;
    StoreGeneration storeGeneration_ { 0 };
    TimePoint coldEvidenceAsOf_;
    // The state of the share for cold servers that was logged last.
    bool wasAbstaining_ { true };
    std::uint64_t invalidPrompts_ { 0 };
    std::optional<TimePoint> invalidPromptLoggedAt_;
    bool isStateSendPosted_ { false };
    bool isDraining_ { false };
    TimePoint drainStartedAt_;
};

}
