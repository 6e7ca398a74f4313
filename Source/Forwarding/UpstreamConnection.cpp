#include "Forwarding/UpstreamConnection.h"

#include "Forwarding/ResponseParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <cstdlib>
#include <optional>
#include <utility>

namespace Damaskgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t readBufferBytes = 16384;
constexpr int firstFinalStatus = 200;
// Bytes of responses to other requests, and of informational responses, that are skipped before the expected response.
constexpr std::size_t maxSkippedBytes = 1U << 20U;
// Bytes that are kept for the parser because they are not a complete head or chunk header yet.
constexpr std::size_t maxIncompleteBytes = 64U << 10U;

class TcpUpstreamConnection : public UpstreamConnection {
public:
    explicit TcpUpstreamConnection(EventLoop& loop)
        : socket_(loop.context())
        , timer_(loop.context())
    {
    }

    void connect(const Endpoint& server, std::chrono::milliseconds timeout, std::function<void(bool)> done) override;
    void exchange(std::string request, UpstreamHandlers handlers) override;
    void close() override;
    void watchIdle(std::function<void()> onLost) override;
    bool isReusable() const override { return isActive_ && isReuseAllowed_ && !isExchanging_; }
    std::chrono::milliseconds keepAliveTime() const override { return keepAliveTime_; }

private:
    std::shared_ptr<TcpUpstreamConnection> self() { return std::static_pointer_cast<TcpUpstreamConnection>(shared_from_this()); }

    void startParser();
    void handleHead(const HttpResponse& head);
    void parseConnectionHeaders(const HttpResponse& head);
    void read();
    void handleRead(const boost::system::error_code& failure, std::size_t count);
    void parse();
    void finishMessage();
    void fail();

    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::string request_;
    UpstreamHandlers handlers_;
    std::function<void()> onIdleLost_;
    std::optional<ResponseParser> parser_;
    beast::flat_buffer buffer_;
    std::chrono::milliseconds keepAliveTime_ { 0 };
    // The connection is being established or is open.
    bool isActive_ { false };
    bool isReuseAllowed_ { true };
    bool isRequestWritten_ { true };
    bool isExchanging_ { false };
    bool isReading_ { false };
    bool isSkippingResponse_ { false };
    std::size_t skippedBytes_ { 0 };
};

void TcpUpstreamConnection::connect(const Endpoint& server, std::chrono::milliseconds timeout, std::function<void(bool)> done)
{
    auto connection = self();
    auto finish = [connection, done = std::move(done)](bool isOpen) {
        if (!connection->isActive_)
            return;
        connection->timer_.cancel();
        connection->isActive_ = isOpen;
        if (!isOpen)
            connection->close();
        done(isOpen);
    };
    isActive_ = true;
    timer_.expires_after(timeout);
    timer_.async_wait([finish](boost::system::error_code failure) {
        if (!failure)
            finish(false);
    });
    Tcp::endpoint endpoint(asio::ip::make_address(server.address), server.port);
    socket_.async_connect(endpoint, [connection, finish](boost::system::error_code failure) {
        boost::system::error_code ignored;
        connection->socket_.set_option(Tcp::no_delay(true), ignored);
        if (failure != asio::error::operation_aborted)
            finish(!failure);
    });
}

void TcpUpstreamConnection::exchange(std::string request, UpstreamHandlers handlers)
{
    request_ = std::move(request);
    handlers_ = std::move(handlers);
    onIdleLost_ = nullptr;
    isExchanging_ = true;
    isRequestWritten_ = false;
    skippedBytes_ = 0;
    startParser();
    auto connection = self();
    asio::async_write(socket_, asio::buffer(request_), [connection](boost::system::error_code failure, std::size_t) {
        if (!failure)
            connection->isRequestWritten_ = true;
        // A failed write is not handled here: the server may have responded before it closed, which the read shows.
    });
    read();
}

void TcpUpstreamConnection::close()
{
    boost::system::error_code ignored;
    // A reset also discards data that a paused or unreachable server has not received yet.
    if (isExchanging_)
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    isActive_ = false;
    isExchanging_ = false;
    handlers_ = {};
    onIdleLost_ = nullptr;
    timer_.cancel();
    socket_.close(ignored);
}

void TcpUpstreamConnection::watchIdle(std::function<void()> onLost)
{
    onIdleLost_ = std::move(onLost);
    read();
}

void TcpUpstreamConnection::startParser()
{
    auto onHead = [this](const HttpResponse& head) { handleHead(head); };
    auto onBody = [this](std::string_view body) {
        if (!isSkippingResponse_ && handlers_.onBody)
            handlers_.onBody(body);
    };
    parser_.emplace(onHead, onBody);
    isSkippingResponse_ = false;
}

void TcpUpstreamConnection::handleHead(const HttpResponse& head)
{
    if (head.status < firstFinalStatus) {
        isSkippingResponse_ = true;
        return;
    }
    parseConnectionHeaders(head);
    if (!handlers_.onHead || handlers_.onHead(head))
        return;
    // The response belongs to another request, so the connection is used only until the expected response arrives.
    isSkippingResponse_ = true;
    isReuseAllowed_ = false;
}

void TcpUpstreamConnection::parseConnectionHeaders(const HttpResponse& head)
{
    std::optional<std::string> connection = findHeader(head.headers, "Connection");
    if (connection && hasListToken(*connection, "close"))
        isReuseAllowed_ = false;
    std::optional<std::string> keepAlive = findHeader(head.headers, "Keep-Alive");
    std::size_t position = keepAlive ? keepAlive->find("timeout=") : std::string::npos;
    if (position != std::string::npos)
        keepAliveTime_ = std::chrono::seconds(std::strtol(keepAlive->c_str() + position + std::string_view("timeout=").size(), nullptr, 10));
}

void TcpUpstreamConnection::read()
{
    if (isReading_ || !isActive_)
        return;
    isReading_ = true;
    auto connection = self();
    socket_.async_read_some(buffer_.prepare(readBufferBytes), [connection](boost::system::error_code failure, std::size_t count) {
        connection->isReading_ = false;
        connection->handleRead(failure, count);
    });
}

void TcpUpstreamConnection::handleRead(const boost::system::error_code& failure, std::size_t count)
{
    if (!isActive_)
        return;
    buffer_.commit(count);
    if (!isExchanging_) {
        // The server closed the idle connection, or sent bytes without a request.
        std::function<void()> onLost = std::move(onIdleLost_);
        close();
        if (onLost)
            onLost();
        return;
    }
    if (count > 0)
        parse();
    if (!isActive_ || !isExchanging_)
        return;
    if (!failure) {
        read();
        return;
    }
    isReuseAllowed_ = false;
    bool endsWithConnection = failure == asio::error::eof && parser_->is_header_done() && parser_->need_eof();
    if (!endsWithConnection || isSkippingResponse_) {
        fail();
        return;
    }
    beast::error_code parseFailure;
    parser_->put_eof(parseFailure);
    if (parseFailure)
        fail();
    else
        finishMessage();
}

void TcpUpstreamConnection::parse()
{
    while (isActive_ && isExchanging_ && buffer_.size() > 0) {
        beast::error_code failure;
        std::size_t used = parser_->put(buffer_.data(), failure);
        // A handler may have closed the connection.
        if (!isActive_)
            return;
        buffer_.consume(used);
        skippedBytes_ += isSkippingResponse_ ? used : 0;
        if (skippedBytes_ > maxSkippedBytes) {
            fail();
            return;
        }
        if (failure == beast::http::error::need_more && buffer_.size() <= maxIncompleteBytes)
            return;
        if (failure) {
            fail();
            return;
        }
        if (parser_->is_done())
            finishMessage();
        else if (used == 0)
            return;
    }
}

void TcpUpstreamConnection::finishMessage()
{
    if (isSkippingResponse_) {
        startParser();
        return;
    }
    if (buffer_.size() > 0 || !isRequestWritten_ || !parser_->keep_alive())
        isReuseAllowed_ = false;
    isExchanging_ = false;
    UpstreamHandlers handlers = std::move(handlers_);
    handlers_ = {};
    handlers.onEnd();
}

void TcpUpstreamConnection::fail()
{
    UpstreamHandlers handlers = std::move(handlers_);
    close();
    if (handlers.onFailure)
        handlers.onFailure();
}

}

std::shared_ptr<UpstreamConnection> makeUpstreamConnection(EventLoop& loop)
{
    return std::make_shared<TcpUpstreamConnection>(loop);
}

}
