#include "Transport/HttpServer.h"

#include "Core/Error.h"
#include "Transport/HttpConnection.h"

#include <algorithm>
#include <vector>

namespace Damaskgrade {

namespace asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

// The acceptor and the state that is shared by all connections. Connections keep it alive.
class HttpServer::Listener : public std::enable_shared_from_this<HttpServer::Listener> {
public:
    Listener(EventLoop& loop, const Endpoint& listen, const HttpServerLimits& limits, Handler handler);

    void start() { accept(); }
    void stop();

    void setLimits(const HttpServerLimits& limits) { limits_ = limits; }
    void handle(std::shared_ptr<HttpExchange> exchange) { handler_(std::move(exchange)); }
    bool isClosing() const { return isClosing_; }
    void setClosing() { isClosing_ = true; }
    void closeIdle();
    HttpServerCounters& counters() { return counters_; }

private:
    void accept();
    void removeClosedConnections();

    Tcp::acceptor acceptor_;
    HttpServerLimits limits_;
    Handler handler_;
    HttpServerCounters counters_;
    std::vector<std::weak_ptr<HttpConnection>> connections_;
    bool isClosing_ { false };
};

HttpServer::Listener::Listener(EventLoop& loop, const Endpoint& listen, const HttpServerLimits& limits, Handler handler)
    : acceptor_(loop.context())
    , limits_(limits)
    , handler_(std::move(handler))
{
    try {
        Tcp::endpoint endpoint(asio::ip::make_address(listen.address), listen.port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
    } catch (const boost::system::system_error& failure) {
        throw Error(ResultCode::SettingsInvalid, "cannot listen on " + formatEndpoint(listen) + ": " + failure.what());
    }
}

void HttpServer::Listener::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void HttpServer::Listener::closeIdle()
{
    removeClosedConnections();
    for (const std::weak_ptr<HttpConnection>& entry : connections_) {
        if (std::shared_ptr<HttpConnection> connection = entry.lock())
            connection->closeIfIdle();
    }
}

void HttpServer::Listener::removeClosedConnections()
{
    connections_.erase(std::remove_if(connections_.begin(), connections_.end(), [](const auto& entry) { return entry.expired(); }), connections_.end());
}

void HttpServer::Listener::accept()
{
    auto self = shared_from_this();
    acceptor_.async_accept([self](boost::system::error_code failure, Tcp::socket socket) {
        if (failure == asio::error::operation_aborted)
            return;
        if (!failure && self->counters_.openConnections < self->limits_.maxConnections) {
            ++self->counters_.acceptedConnections;
            boost::system::error_code ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            auto connection = std::make_shared<HttpConnection>(
                std::move(socket), self->limits_, self->counters_,
                [self](std::shared_ptr<HttpExchange> exchange) { self->handle(std::move(exchange)); },
                [self] { return self->isClosing(); }, self);
            connection->readRequest();
            // Allowing twice the number of open connections keeps this cleanup rare.
            if (self->connections_.size() > 2 * self->counters_.openConnections)
                self->removeClosedConnections();
            self->connections_.push_back(connection);
        }
        self->accept();
    });
}

HttpServer::HttpServer(EventLoop& loop, const Endpoint& listen, const HttpServerLimits& limits, Handler handler)
    : listener_(std::make_shared<Listener>(loop, listen, limits, std::move(handler)))
{
    listener_->start();
}

HttpServer::~HttpServer()
{
    listener_->stop();
}

void HttpServer::closeAfterResponses()
{
    listener_->setClosing();
}

void HttpServer::closeIdle()
{
    listener_->closeIdle();
}

void HttpServer::setLimits(const HttpServerLimits& limits)
{
    listener_->setLimits(limits);
}

const HttpServerCounters& HttpServer::counters() const
{
    return listener_->counters();
}

}
