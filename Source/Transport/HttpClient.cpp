#include "Transport/HttpClient.h"

#include "Transport/UpstreamConnection.h"

#include <utility>

namespace Damaskgrade {

namespace {

// A request in progress. It ends once: with its response, a failure, the timeout, or because it was cancelled. Its connection
// owns it while the connection has operations in progress.
class ClientRequest : public std::enable_shared_from_this<ClientRequest> {
public:
    ClientRequest(EventLoop& loop, std::size_t maxResponseBytes, HttpResponseHandlers handlers)
        : loop_(loop)
        , maxResponseBytes_(maxResponseBytes)
        , handlers_(std::move(handlers))
    {
    }

    void start(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout);
    void cancel();

private:
    void send(std::string bytes);
    void handleBody(std::string_view part);
    void handleEnd();
    void fail(ResultCode code);
    void close();

    EventLoop& loop_;
    std::weak_ptr<UpstreamConnection> connection_;
    std::unique_ptr<Timer> timer_;
    std::size_t maxResponseBytes_;
    std::size_t receivedBytes_ { 0 };
    HttpResponseHandlers handlers_;
    bool wasSent_ { false };
    bool isDone_ { false };
};

void ClientRequest::start(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout)
{
    std::weak_ptr<ClientRequest> weak = weak_from_this();
    timer_ = loop_.after(timeout, [weak] {
        if (std::shared_ptr<ClientRequest> expired = weak.lock())
            expired->fail(ResultCode::Timeout);
    });
    std::shared_ptr<UpstreamConnection> connection = makeUpstreamConnection(loop_, {});
    connection_ = connection;
    auto self = shared_from_this();
    connection->connect(server, timeout, [self, bytes = serializeRequest(request, formatEndpoint(server), false)](bool isOpen) mutable {
        if (isOpen)
            self->send(std::move(bytes));
        else
            self->fail(ResultCode::ConnectionFailed);
    });
}

void ClientRequest::send(std::string bytes)
{
    std::shared_ptr<UpstreamConnection> connection = connection_.lock();
    if (isDone_ || !connection)
        return;
    // From here on, the server may have received the request even if the connection fails.
    wasSent_ = true;
    auto self = shared_from_this();
    UpstreamHandlers handlers;
    handlers.onHead = [self](const HttpResponse& head) {
        if (self->handlers_.onHead)
            self->handlers_.onHead(head);
    };
    handlers.onBody = [self](std::string_view part) { self->handleBody(part); };
    handlers.onEnd = [self] { self->handleEnd(); };
    handlers.onFailure = [self] { self->fail(ResultCode::ConnectionFailed); };
    connection->exchange({ std::nullopt, std::move(bytes) }, std::move(handlers));
}

void ClientRequest::handleBody(std::string_view part)
{
    receivedBytes_ += part.size();
    if (receivedBytes_ > maxResponseBytes_)
        fail(ResultCode::ConnectionFailed);
    else if (handlers_.onBody)
        handlers_.onBody(part);
}

void ClientRequest::handleEnd()
{
    if (isDone_)
        return;
    close();
    if (handlers_.onEnd)
        handlers_.onEnd();
}

void ClientRequest::fail(ResultCode code)
{
    if (isDone_)
        return;
    close();
    if (handlers_.onFailure)
        handlers_.onFailure({ code, wasSent_ });
}

void ClientRequest::cancel()
{
    if (!isDone_)
        close();
}

void ClientRequest::close()
{
    isDone_ = true;
    timer_ = nullptr;
    if (std::shared_ptr<UpstreamConnection> connection = connection_.lock())
        connection->close();
}

class ClientCall : public HttpCall {
public:
    explicit ClientCall(std::shared_ptr<ClientRequest> request)
        : request_(std::move(request))
    {
    }

    ~ClientCall() override { request_->cancel(); }

private:
    std::shared_ptr<ClientRequest> request_;
};

}

HttpClient::HttpClient(EventLoop& loop, std::chrono::milliseconds timeout, std::size_t maxResponseBytes)
    : loop_(loop)
    , timeout_(timeout)
    , maxResponseBytes_(maxResponseBytes)
{
}

std::unique_ptr<HttpCall> HttpClient::stream(const Endpoint& server, const HttpRequest& request, HttpResponseHandlers handlers)
{
    auto started = std::make_shared<ClientRequest>(loop_, maxResponseBytes_, std::move(handlers));
    started->start(server, request, timeout_);
    return std::make_unique<ClientCall>(started);
}

void HttpClient::send(const Endpoint& server, const HttpRequest& request,
    std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure)
{
    auto response = std::make_shared<HttpResponse>();
    HttpResponseHandlers handlers;
    handlers.onHead = [response](const HttpResponse& head) { *response = head; };
    handlers.onBody = [response](std::string_view part) { response->body += part; };
    handlers.onEnd = [response, onResponse = std::move(onResponse)] { onResponse(std::move(*response)); };
    handlers.onFailure = std::move(onFailure);
    std::make_shared<ClientRequest>(loop_, maxResponseBytes_, std::move(handlers))->start(server, request, timeout_);
}

}
