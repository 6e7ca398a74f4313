#pragma once

#include "Agent/AgentSettings.h"
#include "Agent/EngineClient.h"
#include "Agent/MapLinks.h"
#include "Calls/AgentCalls.h"
#include "Core/HybridClock.h"
#include "Core/Random.h"
#include "Platform/HttpObjectStore.h"
#include "Timeline/EventRecorder.h"
#include "Timeline/TimelineWriter.h"
#include "Transport/HttpServer.h"
#include "Transport/LinkServer.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

// The agent process. Connects the links from entries and its engine to the call handling.
class AgentProcess {
public:
    // Throws Error(SettingsInvalid) if an endpoint can't be bound.
    AgentProcess(EventLoop& loop, const Clock& clock, Random& random, AgentSettings settings);
    ~AgentProcess();

private:
    using LinkPointer = std::shared_ptr<LinkSession>;

    // An entry that has sent its hello over a link.
    struct LinkedEntry {
        LinkPointer link;
        std::uint64_t session { 0 };
        std::string name;
        // The last cache event that was sent to this entry.
        std::uint64_t lastCacheEvent { 0 };
    };

    AgentCalls makeCalls();
    EventRecorderOptions recorderOptions() const;
    LinkHandlers makeLinkHandlers();
    void receiveFrame(const LinkPointer& link, const Frame& frame);
    HelloMessage hello() const;
    void sendToEntry(const std::string& entry, const Frame& frame);
    void receiveHello(const LinkPointer& link, const HelloMessage& hello);
    void removeLink(const LinkPointer& link);
    void send(std::uint64_t session, const AgentMessage& message);
    void startCall(RunId run, const CallMessage& call);
    void pollEngine();
    void updateEngineLoad(const std::optional<LoadReport>& load);
    void tick();
    void reportLoad();
    void fillLoadReport(TicketsMessage& message) const;
    void addCacheEvents(LinkedEntry& linkedEntry, TicketsMessage& message) const;
    void storeCacheEvents(const std::vector<CacheEvent>& events);
    void beginDrain();
    void serveHttp(const std::shared_ptr<HttpExchange>& exchange);
    EngineHealth engineHealth() const;
    void reportHealthChange();
    std::string metricsText() const;

    EventLoop& loop_;
    const Clock& clock_;
    AgentSettings settings_;
    // A random text for the hello, the tickets and the timeline.
    std::string incarnation_;
    HybridClock hybridClock_;
    HttpObjectStore objects_;
    EventRecorder events_;
    TimelineWriter timeline_;
    EngineClient engine_;
    AgentCalls calls_;
    std::map<LinkPointer, LinkedEntry> linkedEntries_;
    // Set only if the members of the engine's group are configured.
    std::unique_ptr<MapLinks> maps_;
    // Links from other agents of the group, and their names.
    std::map<LinkPointer, std::string> groupLinks_;
    std::map<std::uint64_t, LinkPointer> linkBySession_;
    LoadReport load_;
    TimePoint loadReceivedAt_;
    // The newest cache events, in order.
    std::deque<CacheEvent> cacheEvents_;
    std::uint64_t lastCacheEvent_ { 0 };
    // When a call last started, progressed or ended.
    TimePoint lastProgress_;
    EngineHealth lastHealth_ { EngineHealth::Unavailable };
    std::uint32_t missedEngineReports_ { 0 };
    bool isEngineAvailable_ { false };
    bool isDraining_ { false };
    bool isOverdueReported_ { false };
    std::unique_ptr<HttpServer> http_;
    std::unique_ptr<LinkServer> links_;
    std::unique_ptr<Timer> tickTimer_;
    std::unique_ptr<Timer> engineTimer_;
    std::unique_ptr<Timer> reportTimer_;
};

}
