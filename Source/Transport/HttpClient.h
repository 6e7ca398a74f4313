#pragma once

#include "Core/Endpoint.h"
#include "Core/ResultCode.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace Damaskgrade {

// A failure of the connection. A request may have been received by the server
// unless wasSent is false.
struct HttpFailure {
    ResultCode code { ResultCode::ConnectionFailed };
    bool wasSent { false };
};

// Receives a response as it arrives. Exactly one of onEnd and onFailure is called, at last.
struct HttpResponseHandlers {
    // Called once with status and headers; the body of the argument is empty.
    std::function<void(const HttpResponse&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(const HttpFailure&)> onFailure;
};

// A request under way. Destroying it cancels the request without a further callback.
class HttpCall {
public:
    virtual ~HttpCall() = default;
};

// Sends HTTP/1.1 requests, each on a connection of its own.
class HttpClient {
public:
    // The timeout bounds the time from the start to the end of the response.
    HttpClient(EventLoop& loop, std::chrono::milliseconds timeout);

    // Sends a request and passes on the response in parts.
    std::unique_ptr<HttpCall> stream(const Endpoint& server, const HttpRequest& request, HttpResponseHandlers handlers);

    // Sends a request and passes on the whole response, or the failure.
    // Runs to its end or to the timeout; exactly one of the handlers is called.
    void send(const Endpoint& server, const HttpRequest& request,
        std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure);

private:
    EventLoop& loop_;
    std::chrono::milliseconds timeout_;
};

}
