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
    // The timeout bounds the time from the start to the end of a response.
    PooledClient(EventLoop& loop, const Clock& clock, std::chrono::milliseconds timeout);

    // Sends a request and passes on the whole response, or the failure. Exactly one of the handlers is called.
    // A request on a kept connection may fail because the server closed it; callers repeat their calls anyway.
    void send(const Endpoint& server, const HttpRequest& request, std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure);

    // Closes connections that have been idle for too long. Call about once a second.
    void closeExpired() { pool_->closeExpired(); }

private:
    struct Call;

    EventLoop& loop_;
    std::chrono::milliseconds timeout_;
    // Shared with the calls under way, which may outlive this client.
    std::shared_ptr<UpstreamPool> pool_;
};

}
