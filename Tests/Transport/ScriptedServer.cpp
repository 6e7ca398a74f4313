#include "Transport/ScriptedServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <optional>
#include <utility>

namespace Damaskgrade {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

struct ScriptedServer::State : std::enable_shared_from_this<ScriptedServer::State> {
    State(EventLoop& loop, Script script, ReadBeforeResponse reading)
        : acceptor(loop.context(), Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , endpoint { "127.0.0.1", acceptor.local_endpoint().port() }
        , script(std::move(script))
        , reading(reading)
    {
    }

    void accept();

    Tcp::acceptor acceptor;
    Endpoint endpoint;
    Script script;
    ReadBeforeResponse reading;
    std::vector<HttpRequest> requests;
    std::size_t connections { 0 };
    std::size_t closed { 0 };
    std::size_t reset { 0 };
    std::size_t endlessBytes { 0 };
    std::size_t bodyBytesReadAfterResponse { 0 };
};

namespace {

constexpr std::uint64_t maxRequestBytes = 64U << 20U;

template <typename State>
class ScriptedConnection : public std::enable_shared_from_this<ScriptedConnection<State>> {
public:
    ScriptedConnection(Tcp::socket socket, std::shared_ptr<State> state)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , state_(std::move(state))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(maxRequestBytes);
        auto self = this->shared_from_this();
        auto handleRead = [self](boost::system::error_code failure, std::size_t) {
            if (failure)
                self->recordLoss(failure);
            else
                self->handle();
        };
        if (state_->reading == ReadBeforeResponse::HeadOnly)
            http::async_read_header(socket_, buffer_, *parser_, handleRead);
        else
            http::async_read(socket_, buffer_, *parser_, handleRead);
    }

private:
    void recordLoss(const boost::system::error_code& failure)
    {
        ++state_->closed;
        if (failure == asio::error::connection_reset)
            ++state_->reset;
    }

    // Reads the rest of the request after the response to it.
    void readRest(std::function<void()> done)
    {
        auto self = this->shared_from_this();
        http::async_read(socket_, buffer_, *parser_, [self, done = std::move(done)](boost::system::error_code failure, std::size_t) {
            if (failure) {
                self->recordLoss(failure);
                return;
            }
            self->state_->bodyBytesReadAfterResponse += self->parser_->get().body().size();
            done();
        });
    }

    void handle()
    {
        const http::request<http::string_body>& message = parser_->get();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        if (state_->reading == ReadBeforeResponse::WholeRequest)
            request.body = message.body();
        state_->requests.push_back(request);
        response_ = state_->script(request);
        sent_ = 0;
        write();
    }

    void write()
    {
        if (sent_ == response_.bytes.size()) {
            if (response_.endless)
                writeEndless();
            else
                endResponse();
            return;
        }
        std::size_t count = response_.isSentBytewise ? 1 : response_.bytes.size();
        auto self = this->shared_from_this();
        asio::async_write(socket_, asio::buffer(response_.bytes.data() + sent_, count), [self, count](boost::system::error_code failure, std::size_t) {
            if (failure)
                return;
            self->sent_ += count;
            self->write();
        });
    }

    void writeEndless()
    {
        constexpr std::size_t blockBytes = 65536;
        constexpr std::size_t maxBytes = 512U << 20U;
        if (block_.empty()) {
            while (block_.size() < blockBytes)
                block_ += *response_.endless;
        }
        auto self = this->shared_from_this();
        asio::async_write(socket_, asio::buffer(block_), [self](boost::system::error_code failure, std::size_t count) {
            self->state_->endlessBytes += count;
            if (failure || self->state_->endlessBytes > maxBytes)
                ++self->state_->closed;
            else
                self->writeEndless();
        });
    }

    void endResponse()
    {
        boost::system::error_code ignored;
        if (response_.after == AfterResponse::ShutDownAndRead || response_.after == AfterResponse::ShutDownAndReset)
            socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        if (response_.pause == std::chrono::milliseconds::zero()) {
            finish();
            return;
        }
        auto self = this->shared_from_this();
        timer_.expires_after(response_.pause);
        timer_.async_wait([self](boost::system::error_code) { self->finish(); });
    }

    void finish()
    {
        auto self = this->shared_from_this();
        boost::system::error_code ignored;
        switch (response_.after) {
        case AfterResponse::KeepOpen:
            readRest([self] { self->read(); });
            break;
        case AfterResponse::Close:
            close();
            break;
        case AfterResponse::Crash:
            state_->acceptor.close(ignored);
            reset();
            break;
        case AfterResponse::Reset:
        case AfterResponse::ShutDownAndReset:
            reset();
            break;
        case AfterResponse::ShutDownAndRead:
        case AfterResponse::ReadAndClose:
            readRest([self] { self->close(); });
            break;
        }
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        socket_.close(ignored);
    }

    void reset()
    {
        boost::system::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<State> state_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    ScriptedResponse response_;
    std::string block_;
    std::size_t sent_ { 0 };
};

}

void ScriptedServer::State::accept()
{
    auto self = shared_from_this();
    acceptor.async_accept([self](boost::system::error_code failure, Tcp::socket socket) {
        if (failure)
            return;
        ++self->connections;
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        std::make_shared<ScriptedConnection<State>>(std::move(socket), self)->read();
        self->accept();
    });
}

ScriptedServer::ScriptedServer(EventLoop& loop, Script script, ReadBeforeResponse reading)
    : state_(std::make_shared<State>(loop, std::move(script), reading))
{
    state_->accept();
}

ScriptedServer::~ScriptedServer()
{
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
}

Endpoint ScriptedServer::endpoint() const
{
    return state_->endpoint;
}

std::size_t ScriptedServer::connectionCount() const
{
    return state_->connections;
}

const std::vector<HttpRequest>& ScriptedServer::requests() const
{
    return state_->requests;
}

std::size_t ScriptedServer::bodyBytesReadAfterResponse() const
{
    return state_->bodyBytesReadAfterResponse;
}

std::size_t ScriptedServer::closedCount() const
{
    return state_->closed;
}

std::size_t ScriptedServer::endlessBytes() const
{
    return state_->endlessBytes;
}

std::size_t ScriptedServer::resetCount() const
{
    return state_->reset;
}

}
