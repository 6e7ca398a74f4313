#pragma once

#include "Core/Endpoint.h"
#include "Core/ResultCode.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace Damaskgrade {

// A failed request. The code is Timeout or ConnectionFailed. If wasSent is true, the server may have received the
// request; otherwise it has not.
struct HttpFailure {
    ResultCode code { ResultCode::ConnectionFailed };
    bool wasSent { false };
};

// Callbacks for a response that is received in parts. The last callback is exactly one of onEnd and onFailure.
struct HttpResponseHandlers {
    // Called once with the status and the headers. The body of the argument is empty.
    std::function<void(const HttpResponse&)> onHead;
    // Called for each part of the body.
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(const HttpFailure&)> onFailure;
};

// A request in progress. Destroying it cancels the request; no callbacks are called afterwards.
class HttpCall {
public:
    virtual ~HttpCall() = default;
};

// Sends HTTP/1.1 requests. Opens a new connection for each request. A response that is not well formed or not complete fails
// with ConnectionFailed.
class HttpClient {
public:
    static constexpr std::size_t defaultMaxResponseBytes { 64U << 20U };

    // The timeout limits the time from opening the connection to the end of the response.
    HttpClient(EventLoop& loop, std::chrono::milliseconds timeout, std::size_t maxResponseBytes = defaultMaxResponseBytes);

    // Sends a request and calls the handlers as parts of the response arrive.
    // Destroying the returned call cancels the request. A body above the size limit fails with ConnectionFailed.
    std::unique_ptr<HttpCall> stream(const Endpoint& server, const HttpRequest& request, HttpResponseHandlers handlers);

    // Sends a request and calls exactly one of the handlers, with the complete response or with the failure.
    // The request can't be cancelled; it ends with its response, a failure or the timeout.
    void send(const Endpoint& server, const HttpRequest& request,
        std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure);

private:
    EventLoop& loop_;
    std::chrono::milliseconds timeout_;
    std::size_t maxResponseBytes_;
};

}
