#pragma once

#include "Core/Endpoint.h"
#include "Core/Random.h"
#include "Transport/EventLoop.h"
#include "Transport/Link.h"
#include "Transport/LinkKeys.h"

#include <memory>

namespace Damaskgrade {

// Keeps a link to another process open. Reconnects after random delays whose upper limit doubles up to two seconds.
class LinkClient {
public:
    // If keys are given, the link opens only if the server proves that it has one of them.
    LinkClient(EventLoop& loop, Random& random, const Endpoint& server, const LinkKeys& keys, LinkHandlers handlers);
    ~LinkClient();
    LinkClient(const LinkClient&) = delete;
    LinkClient& operator=(const LinkClient&) = delete;

    // Returns the open session, or null if the link is not open.
    std::shared_ptr<LinkSession> session() const;

    const LinkCounters& counters() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

}
