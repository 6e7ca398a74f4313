#pragma once

#include "Forwarding/UpstreamPool.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpClient.h"

#include <chrono>
#include <functional>

namespace Damaskgrade {

// Sends requests over pooled connections, for calls that are made many times per second.
class PooledClient {
public:
    PooledClient(EventLoop& loop, const Clock& clock);

    // Sends a request. Calls onResponse with the complete response or onFailure with the failure, but never both.
    // The timeout bounds the time from now to the end of the response. A request on a reused connection may fail
    // because the server closed it while it was idle; this is not retried here, since the code that sends the request
    // retries failed requests anyway.
    void send(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout, std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure);

private:
    struct Call;

    EventLoop& loop_;
    // Shared with the pending calls, which may outlive this client.
    std::shared_ptr<UpstreamPool> pool_;
};

}
