#include "Transport/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <utility>

namespace Damaskgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t readBufferBytes = 16384;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(EventLoop& loop, std::size_t maxResponseBytes, HttpResponseHandlers handlers)
        : stream_(loop.context())
        , handlers_(std::move(handlers))
    {
        parser_.body_limit(maxResponseBytes);
    }

    void start(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout);
    void cancel();

private:
    void write();
    void readHead();
    void readBody();
    void handleBody(const beast::error_code& failure);
    void fail(const beast::error_code& failure);
    void close();

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response_parser<http::buffer_body> parser_;
    std::array<char, readBufferBytes> chunk_ {};
    HttpResponseHandlers handlers_;
    bool wasSent_ { false };
    bool done_ { false };
};

void ClientConnection::start(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout)
{
    request_.method_string(request.method);
    request_.target(request.target);
    request_.set(http::field::host, formatEndpoint(server));
    for (const HttpHeader& header : request.headers)
        request_.set(header.name, header.value);
    request_.body() = request.body;
    request_.keep_alive(false);
    request_.prepare_payload();
    stream_.expires_after(timeout);
    Tcp::endpoint endpoint(asio::ip::make_address(server.address), server.port);
    auto self = shared_from_this();
    stream_.async_connect(endpoint, [self](beast::error_code failure) {
        if (failure)
            self->fail(failure);
        else
            self->write();
    });
}

void ClientConnection::write()
{
    if (done_)
        return;
    beast::error_code ignored;
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
    // From here on, the server may have received the request even if the connection fails.
    wasSent_ = true;
    auto self = shared_from_this();
    http::async_write(stream_, request_, [self](beast::error_code failure, std::size_t) {
        if (failure)
            self->fail(failure);
        else
            self->readHead();
    });
}

void ClientConnection::readHead()
{
    if (done_)
        return;
    auto self = shared_from_this();
    http::async_read_header(stream_, buffer_, parser_, [self](beast::error_code failure, std::size_t) {
        if (failure) {
            self->fail(failure);
            return;
        }
        if (self->done_)
            return;
        HttpResponse head;
        head.status = static_cast<int>(self->parser_.get().result_int());
        for (const auto& field : self->parser_.get())
            head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        if (self->handlers_.onHead)
            self->handlers_.onHead(head);
        self->readBody();
    });
}

void ClientConnection::readBody()
{
    if (done_)
        return;
    if (parser_.is_done()) {
        close();
        if (handlers_.onEnd)
            handlers_.onEnd();
        return;
    }
    parser_.get().body().data = chunk_.data();
    parser_.get().body().size = chunk_.size();
    auto self = shared_from_this();
    http::async_read_some(stream_, buffer_, parser_, [self](beast::error_code failure, std::size_t) { self->handleBody(failure); });
}

void ClientConnection::handleBody(const beast::error_code& failure)
{
    if (failure && failure != http::error::need_buffer) {
        fail(failure);
        return;
    }
    if (done_)
        return;
    std::size_t count = chunk_.size() - parser_.get().body().size;
    if (count > 0 && handlers_.onBody)
        handlers_.onBody(std::string_view(chunk_.data(), count));
    readBody();
}

void ClientConnection::fail(const beast::error_code& failure)
{
    if (done_)
        return;
    close();
    HttpFailure result;
    result.code = failure == beast::error::timeout ? ResultCode::Timeout : ResultCode::ConnectionFailed;
    result.wasSent = wasSent_;
    if (handlers_.onFailure)
        handlers_.onFailure(result);
}

void ClientConnection::cancel()
{
    if (!done_)
        close();
}

void ClientConnection::close()
{
    done_ = true;
    beast::error_code ignored;
    stream_.socket().close(ignored);
}

class ClientCall : public HttpCall {
public:
    explicit ClientCall(std::shared_ptr<ClientConnection> connection)
        : connection_(std::move(connection))
    {
    }

    ~ClientCall() override { connection_->cancel(); }

private:
    std::shared_ptr<ClientConnection> connection_;
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
    auto connection = std::make_shared<ClientConnection>(loop_, maxResponseBytes_, std::move(handlers));
    connection->start(server, request, timeout_);
    return std::make_unique<ClientCall>(connection);
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
    std::make_shared<ClientConnection>(loop_, maxResponseBytes_, std::move(handlers))->start(server, request, timeout_);
}

}
