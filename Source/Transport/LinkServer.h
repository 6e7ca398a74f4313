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
    // Listens at once. Throws Error(SettingsInvalid) if the endpoint can't be bound.
    // With keys, only links whose other side has one of them are opened.
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
