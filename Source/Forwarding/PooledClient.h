#pragma once

#include "Forwarding/UpstreamPool.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpClient.h"

#include <chrono>
#include <functional>

namespace Damaskgrade {

// Sends requests over kept connections, for calls that are made many times a second.
class PooledClient {
public:
    PooledClient(EventLoop& loop, const Clock& clock);

    // Sends a request and passes on the whole response, or the failure. Exactly one of the handlers is called.
    // The timeout bounds the time from now to the end of the response. A request on a kept connection may fail
    // because the server closed it; callers repeat their calls anyway.
    void send(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout, std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure);

private:
    struct Call;

    EventLoop& loop_;
    // Shared with the calls under way, which may outlive this client.
    std::shared_ptr<UpstreamPool> pool_;
};

}
