#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Receives one response of a backend server. onEnd or onFailure is called last, and only one of them.
struct UpstreamHandlers {
    // Called once with status and headers; the body of the argument is empty. Returning false skips the
    // response, because it belongs to another request, and waits for the next one on the connection.
    std::function<bool(const HttpResponse&)> onHead;
    std::function<void(std::string_view)> onBody;
    // The response is complete by its own framing.
    std::function<void()> onEnd;
    // The connection broke, or sent bytes that are no response.
    std::function<void()> onFailure;
};

// A connection to a backend server, which carries one request at a time.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    virtual ~UpstreamConnection() = default;

    // Calls done with whether the connection is open.
    virtual void connect(const Endpoint& server, std::chrono::milliseconds timeout, std::function<void(bool)> done) = 0;

    // Sends a request and reads its response. Only on an open connection without another exchange.
    virtual void exchange(std::string request, UpstreamHandlers handlers) = 0;

    // Closes the connection; no handler is called any more.
    virtual void close() = 0;

    // Calls the handler when the server closes the idle connection or sends bytes on it.
    virtual void watchIdle(std::function<void()> onLost) = 0;

    // Says whether another exchange may follow: the last response was complete, nothing followed it,
    // the whole request was read, and the server did not announce a close.
    virtual bool isReusable() const = 0;

    // Time that the server keeps an idle connection, or zero if it did not say.
    virtual std::chrono::milliseconds keepAliveTime() const = 0;
};

// Creates connections over TCP.
std::shared_ptr<UpstreamConnection> makeUpstreamConnection(EventLoop& loop);

}
