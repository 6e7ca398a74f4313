#pragma once

#include "Transport/HttpMessage.h"

#include <boost/beast/http/basic_parser.hpp>

#include <functional>
#include <string_view>

namespace Damaskgrade {

// Parses one response. Passes the head and the parts of the body to the handlers and does not store the body. Fails before it
// passes on a head that is not well formed.
class ResponseParser : public boost::beast::http::basic_parser<false> {
public:
    ResponseParser(std::function<void(const HttpResponse&)> onHead, std::function<void(std::string_view)> onBody);

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, Text methodText, Text target, int version, ErrorCode& failure) override;
    void on_response_impl(int code, Text reason, int version, ErrorCode& failure) override;
    void on_field_impl(boost::beast::http::field name, Text nameText, Text value, ErrorCode& failure) override;
    void on_header_impl(ErrorCode& failure) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, ErrorCode& failure) override;
    std::size_t on_body_impl(Text body, ErrorCode& failure) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode& failure) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, Text body, ErrorCode& failure) override;
    void on_finish_impl(ErrorCode& failure) override;

    bool hasLegalFraming() const;

    std::function<void(const HttpResponse&)> onHead_;
    std::function<void(std::string_view)> onBody_;
    HttpResponse head_;
    bool isHeadRejected_ { false };
};

}
