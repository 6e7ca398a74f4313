#include "Forwarding/ResponseParser.h"

#include <boost/beast/http/error.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr int switchingProtocols = 101;

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
    onHead_(head_);
}

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode& failure)
{
    failure = {};
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
