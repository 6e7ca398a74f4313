#include "Transport/ResponseParser.h"

#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr int switchingProtocols = 101;
constexpr int noContent = 204;

// Returns whether a response to a request that asks for no upgrade may have this status (RFC 9110, sections 7.8 and 15).
bool isLegalStatus(int status)
{
    return status >= minStatus && status <= maxStatus && status != switchingProtocols;
}

}

ResponseParser::ResponseParser(std::function<void(const HttpResponse&)> onHead, std::function<void(std::string_view)> onBody)
    : onHead_(std::move(onHead))
    , onBody_(std::move(onBody))
{
    eager(true);
    // Beast 1.74 treats an absent limit as zero. The handlers limit the size of what they store.
    body_limit(std::numeric_limits<std::uint64_t>::max());
}

void ResponseParser::on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode& failure)
{
    failure = boost::beast::http::error::bad_version;
}

void ResponseParser::on_response_impl(int code, Text, int, ErrorCode& failure)
{
    failure = {};
    if (!isLegalStatus(code))
        failure = boost::beast::http::error::bad_status;
    head_.status = code;
}

void ResponseParser::on_field_impl(boost::beast::http::field, Text nameText, Text value, ErrorCode& failure)
{
    failure = {};
    head_.headers.push_back({ std::string(nameText), std::string(value) });
}

void ResponseParser::on_header_impl(ErrorCode& failure)
{
    failure = {};
    isHeadRejected_ = !hasLegalFraming();
    if (isHeadRejected_)
        failure = boost::beast::http::error::bad_transfer_encoding;
    else
        onHead_(head_);
}

// Returns whether the body is in the only transfer coding that requests allow, chunked, and is announced only if the status
// allows one (RFC 9112, section 6). The base class ignores other codings.
bool ResponseParser::hasLegalFraming() const
{
    std::size_t codings = 0;
    bool isChunked = false;
    for (const HttpHeader& header : head_.headers) {
        if (!equalsIgnoringCase(header.name, "Transfer-Encoding"))
            continue;
        ++codings;
        isChunked = chunked() && equalsIgnoringCase(header.value, "chunked");
    }
    bool isBodyless = isInformational(head_.status) || head_.status == noContent;
    if (isBodyless)
        return codings == 0 && content_length().value_or(0) == 0;
    return codings == 0 || (codings == 1 && isChunked);
}

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode& failure)
{
    failure = {};
    // Beast 1.74 loses the failure of the head if bytes of the body follow it in the same buffer.
    if (isHeadRejected_)
        failure = boost::beast::http::error::bad_transfer_encoding;
}

std::size_t ResponseParser::on_body_impl(Text body, ErrorCode& failure)
{
    failure = {};
    onBody_(std::string_view(body.data(), body.size()));
    return body.size();
}

void ResponseParser::on_chunk_header_impl(std::uint64_t, Text, ErrorCode& failure)
{
    failure = {};
}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t, Text body, ErrorCode& failure)
{
    failure = {};
    onBody_(std::string_view(body.data(), body.size()));
    return body.size();
}

void ResponseParser::on_finish_impl(ErrorCode& failure)
{
    failure = {};
}

}
