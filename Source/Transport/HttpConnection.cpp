#include "Transport/HttpConnection.h"

#include "Core/ResultCode.h"

#include <sstream>

namespace Damaskgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

std::string serializeHead(const HttpResponse& response, std::optional<std::size_t> contentLength, bool keepAlive)
{
    http::response<http::empty_body> head;
    head.version(11);
    head.result(static_cast<unsigned>(response.status));
    for (const HttpHeader& header : response.headers)
        head.insert(header.name, header.value);
    if (contentLength)
        head.content_length(*contentLength);
    else
        head.chunked(true);
    head.keep_alive(keepAlive);
    std::ostringstream text;
    text << head.base();
    return text.str();
}

std::string encodeChunk(std::string_view data)
{
    std::ostringstream size;
    size << std::hex << data.size();
    return size.str() + "\r\n" + std::string(data) + "\r\n";
}

}

namespace {

class ServerExchange : public HttpExchange {
public:
    ServerExchange(HttpRequest request, std::shared_ptr<HttpConnection> connection)
        : request_(std::move(request))
        , connection_(std::move(connection))
    {
    }

    // Closes the connection if a handler destroys its exchange without a response, so that the caller does not wait
    // for one.
    ~ServerExchange() override
    {
        if (!ended_)
            connection_->close();
    }

    const HttpRequest& request() const override { return request_; }

    void respond(HttpResponse response) override
    {
        if (ended_ || streaming_)
            return;
        ended_ = true;
        std::string bytes = serializeHead(response, response.body.size(), connection_->keepAlive());
        connection_->send(bytes + response.body, true);
    }

    void beginStream(HttpResponse head) override
    {
        if (ended_ || streaming_)
            return;
        streaming_ = true;
        connection_->send(serializeHead(head, std::nullopt, connection_->keepAlive()), false);
    }

    void write(std::string_view chunk) override
    {
        if (!streaming_ || ended_ || chunk.empty())
            return;
        connection_->send(encodeChunk(chunk), false);
    }

    void endStream() override
    {
        if (!streaming_ || ended_)
            return;
        ended_ = true;
        connection_->send("0\r\n\r\n", true);
    }

    void abort() override
    {
        if (ended_)
            return;
        ended_ = true;
        connection_->close();
    }

    std::size_t pendingBytes() const override { return connection_->pendingBytes(); }

    void setCloseHandler(std::function<void()> handler) override
    {
        connection_->setCloseHandler(std::move(handler));
    }

private:
    HttpRequest request_;
    std::shared_ptr<HttpConnection> connection_;
    bool streaming_ { false };
    bool ended_ { false };
};

}

void HttpConnection::readRequest()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser_->body_limit(limits_.maxBodyBytes);
    stream_.expires_after(limits_.idleTimeout);
    auto self = shared_from_this();
    http::async_read(stream_, buffer_, *parser_, [self](beast::error_code failure, std::size_t) {
        // A read that was complete when the connection was closed reports success.
        if (self->closed_)
            return;
        if (failure)
            self->rejectRequest(failure);
        else
            self->handleRequest();
    });
}

void HttpConnection::rejectRequest(const beast::error_code& failure)
{
    bool isTooLarge = failure == http::error::body_limit || failure == http::error::header_limit;
    bool isMalformed = failure.category() == make_error_code(http::error::bad_method).category()
        && failure != http::error::end_of_stream && failure != http::error::partial_message;
    if (!isMalformed) {
        close();
        return;
    }
    ++(isTooLarge ? counters_.oversizedRequests : counters_.malformedRequests);
    ResultCode code = isTooLarge ? ResultCode::RequestTooLarge : ResultCode::MalformedRequest;
    HttpResponse response;
    response.status = httpStatus(code);
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    response.body = "{\"type\":\"about:blank\",\"title\":\"" + std::string(resultName(code)) + "\",\"status\":" + std::to_string(response.status)
        + ",\"code\":" + std::to_string(resultNumber(code)) + ",\"executed\":\"no\",\"detail\":\"" + failure.message() + "\"}";
    keepAlive_ = false;
    setResponding(true);
    send(serializeHead(response, response.body.size(), false) + response.body, true);
}

void HttpConnection::handleRequest()
{
    ++counters_.requests;
    stream_.expires_never();
    http::request<http::string_body> message = parser_->release();
    keepAlive_ = message.keep_alive();
    setResponding(true);
    lastQueued_ = false;
    closeHandler_ = nullptr;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    watchForClose();
    handler_(std::make_shared<ServerExchange>(std::move(request), shared_from_this()));
}

// Waits for the socket to become readable during a response, to detect that the caller has closed the connection.
void HttpConnection::watchForClose()
{
    if (watching_)
        return;
    watching_ = true;
    auto self = shared_from_this();
    stream_.socket().async_wait(Tcp::socket::wait_read, [self](boost::system::error_code failure) {
        self->watching_ = false;
        if (failure || self->closed_ || !self->responding_)
            return;
        char byte = 0;
        boost::system::error_code peekFailure;
        self->stream_.socket().non_blocking(true, peekFailure);
        std::size_t count = self->stream_.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, peekFailure);
        if (peekFailure == asio::error::would_block)
            self->watchForClose();
        else if (peekFailure || count == 0)
            self->close();
        // Otherwise, the caller has pipelined another request. It is read after this response.
    });
}

void HttpConnection::send(std::string bytes, bool isLast)
{
    if (closed_)
        return;
    pendingBytes_ += bytes.size();
    output_.push_back(std::move(bytes));
    lastQueued_ = lastQueued_ || isLast;
    if (!writing_)
        writeNext();
}

void HttpConnection::writeNext()
{
    if (output_.empty()) {
        if (lastQueued_)
            finishResponse();
        return;
    }
    writing_ = true;
    auto self = shared_from_this();
    asio::async_write(stream_.socket(), asio::buffer(output_.front()), [self](boost::system::error_code failure, std::size_t) {
        self->writing_ = false;
        if (self->closed_)
            return;
        self->pendingBytes_ -= self->output_.front().size();
        self->output_.pop_front();
        if (failure)
            self->close();
        else
            self->writeNext();
    });
}

void HttpConnection::finishResponse()
{
    setResponding(false);
    lastQueued_ = false;
    closeHandler_ = nullptr;
    if (keepAlive())
        readRequest();
    else
        close();
}

void HttpConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
    notifyClosed();
}

void HttpConnection::closeIfIdle()
{
    boost::system::error_code failure;
    bool hasPartialRequest = buffer_.size() > 0 || (parser_ && parser_->got_some()) || stream_.socket().available(failure) > 0;
    if (!responding_ && !hasPartialRequest)
        close();
}

void HttpConnection::notifyClosed()
{
    std::function<void()> handler = std::move(closeHandler_);
    closeHandler_ = nullptr;
    bool wasResponding = responding_;
    setResponding(false);
    if (wasResponding && handler)
        handler();
}

void HttpConnection::setResponding(bool isResponding)
{
    if (isResponding == responding_)
        return;
    responding_ = isResponding;
    counters_.activeResponses += isResponding ? 1 : -1;
}

}
