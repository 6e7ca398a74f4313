#pragma once

#include "Agent/AgentSettings.h"
#include "Agent/HttpMapEngine.h"
#include "Calls/CallMessages.h"
#include "Core/HybridClock.h"
#include "MapSwitch/MapAgent.h"
#include "Platform/HttpInstanceList.h"
#include "Platform/HttpTable.h"
#include "Transport/LinkDirectory.h"

#include <functional>
#include <memory>
#include <string>

namespace Damaskgrade {

// Connects the map agent of a model engine to the entries and to the other agents of its group.
// Agents link to each other directly, so that votes depend on neither an entry nor the table.
class MapLinks {
public:
    using SendToEntry = std::function<void(const std::string& entry, const Frame& frame)>;

    MapLinks(EventLoop& loop, const Clock& clock, Random& random, HybridClock& hybridClock, const AgentSettings& settings,
        const HelloMessage& self, EngineClient& engine, SendToEntry sendToEntry);

    // Handles a frame from an entry or another agent. Returns whether the frame type belongs to expert maps.
    // Throws Error(BadFrame) if the body can't be decoded.
    bool receive(const std::string& from, const Frame& frame);

    // Returns the step-time skew of the group that its controller last sent, as a ratio (1 means balanced).
    // Returns 1 if it was received more than 30 s ago.
    double groupSkew() const;

    LinkCounters counters() const { return agents_.counters(); }

private:
    MapAgentSettings agentSettings(const AgentSettings& settings) const;
    MapAgentHooks agentHooks();
    ProcessLinkHooks directoryHooks();
    void updateLinks();
    void receiveLoadRequest(const std::string& entry, const ExpertLoadRequestMessage& request);
    void reportExpertLoad(const std::string& entry);

    const Clock& clock_;
    HybridClock& hybridClock_;
    AgentSettings settings_;
    HelloMessage self_;
    EngineClient& engine_;
    SendToEntry sendToEntry_;
    HttpTable table_;
    HttpInstanceList instances_;
    HttpMapEngine mapEngine_;
    LinkDirectory agents_;
    MapAgent mapAgent_;
    double skew_ { 1 };
    TimePoint skewReceivedAt_;
    std::unique_ptr<Timer> tickTimer_;
    std::unique_ptr<Timer> linkTimer_;
};

}
