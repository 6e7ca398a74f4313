#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpMessage.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Damaskgrade {

// A request and its response. The response is sent either with one call of respond() or as a stream. Further calls of
// respond() and beginStream(), and calls of write() and endStream() without an open stream, are ignored.
// If an exchange is destroyed before its response has ended, the connection is closed.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends a complete response.
    virtual void respond(HttpResponse response) = 0;

    // Starts a chunked response. Ignores the body of the argument.
    virtual void beginStream(HttpResponse head) = 0;
    virtual void write(std::string_view chunk) = 0;

    // Ends a chunked response with the final chunk. Without it, the response is incomplete for the caller.
    virtual void endStream() = 0;

    // Closes the connection immediately. A stream that was started remains incomplete.
    virtual void abort() = 0;

    // Returns the number of bytes that are queued but not yet written to the socket.
    virtual std::size_t pendingBytes() const = 0;

    // Sets a handler that is called once if the caller closes the connection before the response has ended.
    virtual void setCloseHandler(std::function<void()> handler) = 0;
};

struct HttpServerLimits {
    std::size_t maxHeaderBytes { 16384 };
    std::size_t maxBodyBytes { 1048576 };
    std::size_t maxConnections { 20000 };
    std::chrono::seconds idleTimeout { 60 };
};

struct HttpServerCounters {
    std::uint64_t acceptedConnections { 0 };
    std::uint64_t openConnections { 0 };
    std::uint64_t requests { 0 };
    // The number of requests whose response has not been sent completely.
    std::uint64_t activeResponses { 0 };
    std::uint64_t malformedRequests { 0 };
    std::uint64_t oversizedRequests { 0 };
};

// An HTTP/1.1 server with keep-alive.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    // Starts listening. Throws Error(SettingsInvalid) if the endpoint can't be bound.
    HttpServer(EventLoop& loop, const Endpoint& listen, const HttpServerLimits& limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Adds "Connection: close" to all subsequent responses, so that callers reconnect to other instances.
    void closeAfterResponses();

    // Closes the connections that are waiting for their next request.
    void closeIdle();

    // Sets the limits for connections that are accepted from now on.
    void setLimits(const HttpServerLimits& limits);

    const HttpServerCounters& counters() const;

private:
    class Listener;
    std::shared_ptr<Listener> listener_;
};

}
