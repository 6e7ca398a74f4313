#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/Link.h"
#include "Transport/LinkKeys.h"

#include <memory>

namespace Damaskgrade {

// Accepts links from other processes of the system.
class LinkServer {
public:
    // Starts listening. Throws Error(SettingsInvalid) if the endpoint can't be bound.
    // If keys are given, a link opens only if the client proves that it has one of them.
    LinkServer(EventLoop& loop, const Endpoint& listen, const LinkKeys& keys, LinkHandlers handlers);
    ~LinkServer();
    LinkServer(const LinkServer&) = delete;
    LinkServer& operator=(const LinkServer&) = delete;

    const LinkCounters& counters() const;

private:
    struct State;

    static LinkHandlers trackedHandlers(const std::shared_ptr<State>& state);

    std::shared_ptr<State> state_;
};

}
