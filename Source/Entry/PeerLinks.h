#pragma once

#include "Calls/CallMessages.h"
#include "Core/HybridClock.h"
#include "Platform/InstanceList.h"
#include "Transport/LinkDirectory.h"
#include "Transport/LinkServer.h"

#include <functional>
#include <map>
#include <string>

namespace Damaskgrade {

// The links between entry instances. Each entry sends over the links that it opened
// and receives over the links that its peers opened.
class PeerLinks {
public:
    using FrameHandler = std::function<void(const std::string& from, const Frame& frame)>;

    // Throws Error(SettingsInvalid) if the endpoint can't be bound.
    PeerLinks(EventLoop& loop, Random& random, HybridClock& hybridClock, HelloMessage self, const Endpoint& listen, const LinkKeys& keys, FrameHandler onFrame);

    void update(const std::vector<InstanceRecord>& instances);

    // Sends a frame to a peer. Drops the frame if the peer is not linked.
    void send(const std::string& peer, const Frame& frame);

    LinkCounters clientCounters() const { return directory_.counters(); }
    const LinkCounters& serverCounters() const { return server_.counters(); }

private:
    LinkHandlers makeServerHandlers();
    ProcessLinkHooks makeClientHooks();
    void receive(const std::shared_ptr<LinkSession>& session, const Frame& frame);

    HybridClock& hybridClock_;
    HelloMessage self_;
    FrameHandler onFrame_;
    std::map<std::shared_ptr<LinkSession>, std::string> namesBySession_;
    LinkDirectory directory_;
    LinkServer server_;
};

}
