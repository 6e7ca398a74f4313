#include "Transport/UpstreamConnection.h"

#include "Transport/ResponseReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <string_view>
#include <utility>

namespace Damaskgrade {

namespace asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t readBufferBytes = 16384;
// The system does not report when the other side acknowledges bytes.
constexpr std::chrono::milliseconds deliveryCheckPeriod { 2 };

class TcpUpstreamConnection : public UpstreamConnection {
public:
    TcpUpstreamConnection(EventLoop& loop, const std::string& idHeader)
        : socket_(loop.context())
        , timer_(loop.context())
        , reader_(idHeader)
    {
    }

    void connect(const Endpoint& server, std::chrono::milliseconds timeout, std::function<void(bool)> done) override;
    void exchange(UpstreamRequest request, UpstreamHandlers handlers) override;
    void close() override;
    void watchIdle(std::function<void()> onLost) override;
    bool isReusable() const override { return isActive_ && writing_ == Progress::Done && reader_.canContinue() && !reader_.isActive(); }
    bool canIdentify(const std::optional<std::string>& requestId) const override { return reader_.canIdentify(requestId); }
    std::chrono::milliseconds keepAliveTime() const override { return reader_.keepAliveTime(); }

private:
    enum class Progress {
        Pending,
        Done,
        Failed,
    };

    std::shared_ptr<TcpUpstreamConnection> self() { return std::static_pointer_cast<TcpUpstreamConnection>(shared_from_this()); }

    void read();
    void handleRead(const boost::system::error_code& failure, std::size_t count);
    Progress delivery();
    void finishAtConnectionEnd();
    std::shared_ptr<UpstreamHandlers> shutDown();
    void fail();

    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::string request_;
    ResponseReader reader_;
    std::function<void()> onIdleLost_;
    std::array<char, readBufferBytes> buffer_ {};
    // The connection is being established or is open.
    bool isActive_ { false };
    // The write of the current request.
    Progress writing_ { Progress::Done };
    bool isReading_ { false };
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

void TcpUpstreamConnection::exchange(UpstreamRequest request, UpstreamHandlers handlers)
{
    request_ = std::move(request.bytes);
    onIdleLost_ = nullptr;
    writing_ = Progress::Pending;
    reader_.begin(std::move(request.id), std::move(handlers));
    auto connection = self();
    asio::async_write(socket_, asio::buffer(request_), [connection](boost::system::error_code failure, std::size_t) {
        // A failed write alone is no failure of the exchange: the server may have sent a response with a length before it closed.
        connection->writing_ = failure ? Progress::Failed : Progress::Done;
    });
    read();
}

void TcpUpstreamConnection::close()
{
    shutDown();
}

// Closes the connection and returns the handlers of the pending exchange.
std::shared_ptr<UpstreamHandlers> TcpUpstreamConnection::shutDown()
{
    boost::system::error_code ignored;
    // A reset also discards data that a paused or unreachable server has not received yet.
    if (reader_.isActive())
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    isActive_ = false;
    onIdleLost_ = nullptr;
    timer_.cancel();
    socket_.close(ignored);
    return reader_.cancel();
}

void TcpUpstreamConnection::watchIdle(std::function<void()> onLost)
{
    onIdleLost_ = std::move(onLost);
    read();
}

void TcpUpstreamConnection::read()
{
    if (isReading_ || !isActive_)
        return;
    isReading_ = true;
    auto connection = self();
    socket_.async_read_some(asio::buffer(buffer_), [connection](boost::system::error_code failure, std::size_t count) {
        connection->isReading_ = false;
        connection->handleRead(failure, count);
    });
}

void TcpUpstreamConnection::handleRead(const boost::system::error_code& failure, std::size_t count)
{
    if (!isActive_)
        return;
    if (!reader_.isActive()) {
        // The server closed the idle connection, or sent bytes without a request.
        std::function<void()> onLost = std::move(onIdleLost_);
        close();
        if (onLost)
            onLost();
        return;
    }
    ResponseReader::Result result = reader_.receive(std::string_view(buffer_.data(), count));
    if (failure && result != ResponseReader::Result::Invalid && reader_.isActive()) {
        if (failure == asio::error::eof && reader_.endsWithConnection()) {
            finishAtConnectionEnd();
            return;
        }
        result = ResponseReader::Result::Invalid;
    }
    if (result == ResponseReader::Result::Invalid)
        fail();
    else if (reader_.isActive())
        read();
}

// Returns whether the server has received the current request, as acknowledged by its system. A reset ends this; a read does not
// show it if a pending write has received the error, or if the server has ended its direction before.
TcpUpstreamConnection::Progress TcpUpstreamConnection::delivery()
{
    int error = 0;
    socklen_t errorSize = sizeof(error);
    bool isReset = ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &errorSize) == 0 && error != 0;
    if (writing_ == Progress::Failed || isReset)
        return Progress::Failed;
    int unacknowledgedBytes = 0;
    bool isKnown = ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledgedBytes) == 0;
    bool isPending = writing_ == Progress::Pending || (isKnown && unacknowledgedBytes > 0);
    return isPending ? Progress::Pending : Progress::Done;
}

// Decides whether a response that ends with its connection is complete: only after its server has received the whole request,
// as the server may otherwise have been broken off.
void TcpUpstreamConnection::finishAtConnectionEnd()
{
    if (!isActive_)
        return;
    switch (delivery()) {
    case Progress::Pending: {
        timer_.expires_after(deliveryCheckPeriod);
        auto connection = self();
        timer_.async_wait([connection](boost::system::error_code failure) {
            if (!failure)
                connection->finishAtConnectionEnd();
        });
        break;
    }
    case Progress::Done:
        if (reader_.receiveEnd() == ResponseReader::Result::Invalid)
            fail();
        break;
    case Progress::Failed:
        fail();
        break;
    }
}

void TcpUpstreamConnection::fail()
{
    shutDown()->onFailure();
}

}

std::shared_ptr<UpstreamConnection> makeUpstreamConnection(EventLoop& loop, const std::string& idHeader)
{
    return std::make_shared<TcpUpstreamConnection>(loop, idHeader);
}

}
