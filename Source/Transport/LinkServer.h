#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/Link.h"

#include <memory>

namespace Damaskgrade {

// Accepts links from other processes of the system.
class LinkServer {
public:
    // Listens at once. Throws Error(SettingsInvalid) if the endpoint can't be bound.
    LinkServer(EventLoop& loop, const Endpoint& listen, LinkHandlers handlers);
    ~LinkServer();
    LinkServer(const LinkServer&) = delete;
    LinkServer& operator=(const LinkServer&) = delete;

    const LinkCounters& counters() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

}
