#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpMessage.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Damaskgrade {

// One request and its response. Responds either once, with respond(), or as a stream.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends a whole response.
    virtual void respond(HttpResponse response) = 0;

    // Starts a chunked response; the body of the argument is ignored.
    virtual void beginStream(HttpResponse head) = 0;
    virtual void write(std::string_view chunk) = 0;

    // Ends a chunked response in good order. Without it the caller sees a cut stream.
    virtual void endStream() = 0;

    // Closes the connection at once, leaving a started stream unfinished.
    virtual void abort() = 0;

    // Bytes that write() has taken and the socket has not.
    virtual std::size_t pendingBytes() const = 0;

    // Called once if the caller closes the connection before the response has ended.
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
    // Requests whose response has not been sent whole.
    std::uint64_t activeResponses { 0 };
    std::uint64_t malformedRequests { 0 };
    std::uint64_t oversizedRequests { 0 };
};

// Serves HTTP/1.1 with keep-alive.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    // Listens at once. Throws Error(SettingsInvalid) if the endpoint can't be bound.
    HttpServer(EventLoop& loop, const Endpoint& listen, const HttpServerLimits& limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Adds "Connection: close" to all later responses, so that callers move elsewhere.
    void closeAfterResponses();

    // Closes the connections that wait for their next request.
    void closeIdle();

    // Connections that are accepted from now on have these limits.
    void setLimits(const HttpServerLimits& limits);

    const HttpServerCounters& counters() const;

private:
    class Listener;
    std::shared_ptr<Listener> listener_;
};

}
