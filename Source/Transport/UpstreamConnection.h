#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/UpstreamHandlers.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Damaskgrade {

// A request as it is sent to a server.
struct UpstreamRequest {
    // The id that the response states. Absent if the server states none in responses to such requests.
    std::optional<std::string> id;
    std::string bytes;
};

// A connection to a backend server. It carries one request at a time.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    virtual ~UpstreamConnection() = default;

    // Connects to the server. Calls done with true if the connection is open, and with false if it failed or
    // the timeout passed.
    virtual void connect(const Endpoint& server, std::chrono::milliseconds timeout, std::function<void(bool)> done) = 0;

    // Sends a request and reads the response. The connection must be open, without a pending exchange, and
    // canIdentify() true for the request.
    virtual void exchange(UpstreamRequest request, UpstreamHandlers handlers) = 0;

    // Closes the connection. No handler is called afterwards. A handler that calls this exists until it returns.
    virtual void close() = 0;

    // Calls onLost when the server closes the idle connection or sends bytes on it.
    virtual void watchIdle(std::function<void()> onLost) = 0;

    // Returns whether the connection can be used for another request: the last response was complete and not
    // followed by other bytes, its request was fully sent, and the server did not announce a close.
    virtual bool isReusable() const = 0;

    // Returns whether the response to a request with this id could be distinguished from second copies of the responses
    // to earlier requests on the connection, which the server may send at any time.
    virtual bool canIdentify(const std::optional<std::string>& requestId) const = 0;

    // Returns how long the server keeps an idle connection, or zero if it did not state a time.
    virtual std::chrono::milliseconds keepAliveTime() const = 0;
};

// Creates connections over TCP. Responses state the id of their request in the given header.
std::shared_ptr<UpstreamConnection> makeUpstreamConnection(EventLoop& loop, const std::string& idHeader);

}
