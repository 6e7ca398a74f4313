#pragma once

#include "Transport/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>
#include <utility>

namespace Damaskgrade {

// A connection from a caller. Handles its requests sequentially. Internal to HttpServer.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServerLimits& limits, HttpServerCounters& counters,
        std::function<void(std::shared_ptr<HttpExchange>)> handler, std::function<bool()> isClosing, std::shared_ptr<void> owner)
        : stream_(std::move(socket))
        , limits_(limits)
        , counters_(counters)
        , handler_(std::move(handler))
        , isClosing_(std::move(isClosing))
        , owner_(std::move(owner))
    {
        ++counters_.openConnections;
    }

    ~HttpConnection()
    {
        setResponding(false);
        --counters_.openConnections;
    }

    void readRequest();
    void send(std::string bytes, bool isLast);
    void close();
    // Closes the connection unless a request is being handled or has been partially received.
    void closeIfIdle();
    bool keepAlive() const { return keepAlive_ && !isClosing_(); }
    std::size_t pendingBytes() const { return pendingBytes_; }
    void setCloseHandler(std::function<void()> handler) { closeHandler_ = std::move(handler); }

private:
    void handleRequest();
    void rejectRequest(const boost::beast::error_code& failure);
    void watchForClose();
    void writeNext();
    void finishResponse();
    void notifyClosed();
    void setResponding(bool isResponding);

    boost::beast::tcp_stream stream_;
    HttpServerLimits limits_;
    HttpServerCounters& counters_;
    std::function<void(std::shared_ptr<HttpExchange>)> handler_;
    std::function<bool()> isClosing_;
    std::shared_ptr<void> owner_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::deque<std::string> output_;
    std::size_t pendingBytes_ { 0 };
    std::function<void()> closeHandler_;
    bool keepAlive_ { false };
    bool responding_ { false };
    bool lastQueued_ { false };
    bool writing_ { false };
    bool watching_ { false };
    bool closed_ { false };
};

}
