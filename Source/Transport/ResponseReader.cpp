#include "Transport/ResponseReader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <cstdlib>
#include <utility>

namespace Damaskgrade {

namespace beast = boost::beast;

namespace {

// Bytes of responses to other requests, and of informational responses, that are skipped before the expected response.
constexpr std::size_t maxSkippedBytes = 1U << 20U;
// Bytes that are kept for the parser because they are not a complete head or chunk header yet.
constexpr std::size_t maxIncompleteBytes = 64U << 10U;
// Beast 1.74 asserts this size when it continues with an incomplete last chunk. No chunked body ends in fewer bytes.
constexpr std::size_t minChunkHeaderBytes = 5;

}

ResponseReader::ResponseReader(std::string idHeader)
    : matcher_(std::move(idHeader))
{
}

void ResponseReader::begin(std::optional<std::string> requestId, UpstreamHandlers handlers)
{
    matcher_.beginRequest(std::move(requestId));
    handlers_ = std::make_shared<UpstreamHandlers>(std::move(handlers));
    skippedBytes_ = 0;
    startMessage();
}

std::shared_ptr<UpstreamHandlers> ResponseReader::cancel()
{
    isInStep_ = false;
    return std::exchange(handlers_, nullptr);
}

void ResponseReader::startMessage()
{
    parser_.emplace([this](const HttpResponse& head) { handleHead(head); }, [this](std::string_view body) { handleBody(body); });
    contentHash_.reset();
    minParsedBytes_ = 1;
    isSkippingResponse_ = false;
}

void ResponseReader::handleHead(const HttpResponse& head)
{
    if (isInformational(head.status)) {
        isSkippingResponse_ = true;
        return;
    }
    parseConnectionHeaders(head);
    std::shared_ptr<UpstreamHandlers> handlers = handlers_;
    if (matcher_.accept(head, handlers->mayLackId)) {
        handlers->onHead(head);
        return;
    }
    // The connection is used only until the expected response arrives.
    isSkippingResponse_ = true;
    isInStep_ = false;
    if (handlers->onSkipped)
        handlers->onSkipped();
}

void ResponseReader::handleBody(std::string_view body)
{
    std::shared_ptr<UpstreamHandlers> handlers = handlers_;
    if (handlers && !isSkippingResponse_)
        handlers->onBody(body);
}

void ResponseReader::parseConnectionHeaders(const HttpResponse& head)
{
    std::optional<std::string> connection = findHeader(head.headers, "Connection");
    if (connection && hasListToken(*connection, "close"))
        isInStep_ = false;
    std::optional<std::string> keepAlive = findHeader(head.headers, "Keep-Alive");
    std::size_t position = keepAlive ? keepAlive->find("timeout=") : std::string::npos;
    if (position != std::string::npos)
        keepAliveTime_ = std::chrono::seconds(std::strtol(keepAlive->c_str() + position + std::string_view("timeout=").size(), nullptr, 10));
}

ResponseReader::Result ResponseReader::receive(std::string_view bytes)
{
    pending_.append(bytes);
    std::size_t parsed = 0;
    Result result = Result::Continue;
    while (result == Result::Continue && isActive() && pending_.size() - parsed >= minParsedBytes_) {
        std::string_view rest = std::string_view(pending_).substr(parsed);
        beast::error_code failure;
        std::size_t used = parser_->put(boost::asio::buffer(rest.data(), rest.size()), failure);
        parsed += used;
        if (!matcher_.hasCurrentId())
            contentHash_.add(rest.substr(0, used));
        // A handler may have cancelled the exchange.
        if (!isActive())
            break;
        skippedBytes_ += isSkippingResponse_ ? used : 0;
        bool isIncomplete = failure == beast::http::error::need_more && pending_.size() - parsed <= maxIncompleteBytes;
        if (skippedBytes_ > maxSkippedBytes || (failure && !isIncomplete)) {
            result = Result::Invalid;
            break;
        }
        bool isInChunkHeader = isIncomplete && parser_->is_header_done();
        minParsedBytes_ = isInChunkHeader ? minChunkHeaderBytes : 1;
        if (isIncomplete)
            break;
        if (parser_->is_done())
            result = finishMessage(parsed == pending_.size());
        else if (used == 0)
            break;
    }
    pending_.erase(0, parsed);
    return result;
}

bool ResponseReader::endsWithConnection() const
{
    return isActive() && !isSkippingResponse_ && parser_->is_header_done() && parser_->need_eof() && !parser_->is_done();
}

ResponseReader::Result ResponseReader::receiveEnd()
{
    isInStep_ = false;
    beast::error_code failure;
    parser_->put_eof(failure);
    if (failure)
        return Result::Invalid;
    return finishMessage(true);
}

ResponseReader::Result ResponseReader::finishMessage(bool isLastReceived)
{
    if (isSkippingResponse_) {
        startMessage();
        return Result::Continue;
    }
    if (!matcher_.hasCurrentId() && !matcher_.recordResponse(contentHash_.value()))
        return Result::Invalid;
    if (!isLastReceived || !parser_->keep_alive())
        isInStep_ = false;
    std::exchange(handlers_, nullptr)->onEnd();
    return Result::Continue;
}

}
