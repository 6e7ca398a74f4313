#pragma once

#include "Core/HybridClock.h"
#include "Core/Random.h"
#include "Entry/AdministrationApi.h"
#include "Entry/CallService.h"
#include "Entry/CallerApi.h"
#include "Entry/ConfigurationNode.h"
#include "Entry/EntrySettings.h"
#include "Entry/MapService.h"
#include "Entry/PeerLinks.h"
#include "Platform/HttpInstanceList.h"
#include "Platform/HttpObjectStore.h"
#include "Platform/HttpTable.h"
#include "Routing/AddressSelector.h"
#include "Routing/AgentSubset.h"
#include "Timeline/EventRecorder.h"
#include "Timeline/TimelineWriter.h"
#include "Transport/HttpServer.h"
#include "Transport/LinkDirectory.h"

#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

// The entry process. Connects callers, operators, peers, agents and the platform to the components that admit
// and route calls.
class EntryProcess {
public:
    // Throws the errors of the ConfigurationNode constructor, and Error(SettingsInvalid) if an endpoint can't be
    // bound.
    EntryProcess(EventLoop& loop, const Clock& clock, Random& random, EntrySettings settings);
    ~EntryProcess();

private:
    EventRecorderOptions recorderOptions() const;
    HelloMessage hello() const;
    CallServiceHooks callHooks();
    CallerApiHooks callerHooks();
    ConfigurationNodeHooks configurationHooks();
    ProcessLinkHooks agentLinkHooks();
    AdministrationHooks administrationHooks();

    void receiveFromAgent(const std::string& agent, const Frame& frame);
    void applyDocument(const DocumentPointer& document);
    void pollInstances();
    void applyInstances(const std::vector<InstanceRecord>& instances);
    void serve(const std::shared_ptr<HttpExchange>& exchange);
    void serveAddresses(HttpExchange& exchange);
    void serveHealth(HttpExchange& exchange, std::string_view path);
    ResultCode admission() const;
    void tick();
    std::chrono::seconds drainLimit() const;
    void recordAdmission();
    void recordPeers();
    void beginDrain();
    std::string metricsText() const;
    std::string statusJson() const;

    EventLoop& loop_;
    const Clock& clock_;
    Random& random_;
    EntrySettings settings_;
    // A random text for the hello and the timeline. Not the same as the incarnation in gossip, which is the start
    // time.
    std::string incarnation_;
    HybridClock hybridClock_;
    HttpTable table_;
    HttpInstanceList instanceList_;
    HttpObjectStore objects_;
    EventRecorder events_;
    TimelineWriter timeline_;
    std::vector<InstanceRecord> instances_;
    Document document_;
    CallService calls_;
    CallerApi callerApi_;
    LinkDirectory agents_;
    MapService maps_;
    std::unique_ptr<PeerLinks> peers_;
    std::unique_ptr<ConfigurationNode> configuration_;
    std::unique_ptr<AdministrationApi> administration_;
    ZoneLatencies latencies_;
    AddressSelector addresses_;
    AgentSubset subset_;
    std::unique_ptr<HttpServer> http_;
    bool isDraining_ { false };
    // The states in the last recorded events.
    bool wasAdmitting_ { false };
    std::map<std::string, PeerState> peerStates_;
    bool isOverdueReported_ { false };
    TimePoint drainStartedAt_;
    std::unique_ptr<Timer> tickTimer_;
    std::unique_ptr<Timer> instanceTimer_;
};

}
