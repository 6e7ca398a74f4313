#pragma once

#include "Core/Endpoint.h"
#include "Core/Random.h"
#include "Transport/EventLoop.h"
#include "Transport/Link.h"
#include "Transport/LinkKeys.h"

#include <memory>

namespace Damaskgrade {

// Keeps a link to another process open; reconnects after random delays that double up to two seconds.
class LinkClient {
public:
    // With keys, the link opens only if the server has one of them.
    LinkClient(EventLoop& loop, Random& random, const Endpoint& server, const LinkKeys& keys, LinkHandlers handlers);
    ~LinkClient();
    LinkClient(const LinkClient&) = delete;
    LinkClient& operator=(const LinkClient&) = delete;

    // Returns the open session, or null.
    std::shared_ptr<LinkSession> session() const;

    const LinkCounters& counters() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

}
