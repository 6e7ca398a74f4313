#pragma once

#include "Forwarding/UpstreamPool.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpClient.h"

#include <chrono>
#include <functional>
#include <memory>

namespace Damaskgrade {

// Sends requests over pooled connections, for calls that are made many times per second. The server states no ids in its
// responses, so a second copy of an earlier response is recognized by its content.
class PooledClient {
public:
    PooledClient(EventLoop& loop, const Clock& clock);
    PooledClient(TaskScheduler& scheduler, const Clock& clock, UpstreamPool::Factory factory);

    // Sends a request. Calls onResponse with the complete response or onFailure with the failure, but never both.
    // The timeout bounds the time from now to the end of the response. A GET request may use a connection that has
    // carried others. If it fails there, or if its response equals an earlier one on that connection and so may be a
    // second copy of it, the request is sent once more on a new connection. Any other request is sent once, on a new
    // connection, as the equal responses to such requests can't be distinguished.
    void send(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout, std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure);

private:
    struct Call;

    static void start(const std::shared_ptr<UpstreamPool>& pool, const std::shared_ptr<Call>& call, bool mayReuse);

    TaskScheduler& scheduler_;
    // Shared with the pending calls, which may outlive this client.
    std::shared_ptr<UpstreamPool> pool_;
};

}
