#include "Transport/HttpServer.h"

#include "Core/Error.h"
#include "Transport/HttpConnection.h"

namespace Damaskgrade {

namespace asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

// State that outlives a single connection.
class HttpServer::Listener : public std::enable_shared_from_this<HttpServer::Listener> {
public:
    Listener(EventLoop& loop, const Endpoint& listen, const HttpServerLimits& limits, Handler handler);

    void start() { accept(); }
    void stop();

    void setLimits(const HttpServerLimits& limits) { limits_ = limits; }
    void handle(std::shared_ptr<HttpExchange> exchange) { handler_(std::move(exchange)); }
    bool isClosing() const { return isClosing_; }
    void setClosing() { isClosing_ = true; }
    HttpServerCounters& counters() { return counters_; }

private:
    void accept();

    Tcp::acceptor acceptor_;
    HttpServerLimits limits_;
    Handler handler_;
    HttpServerCounters counters_;
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

void HttpServer::setLimits(const HttpServerLimits& limits)
{
    listener_->setLimits(limits);
}

const HttpServerCounters& HttpServer::counters() const
{
    return listener_->counters();
}

}
