#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method { "GET" };
    // The path with its query string.
    std::string target { "/" };
    std::vector<HttpHeader> headers;
    std::string body;
};

struct HttpResponse {
    int status { 200 };
    std::vector<HttpHeader> headers;
    std::string body;
};

// Compares ASCII letters without case, as names of headers are.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

// Says whether a comma-separated header value has this token, compared without case.
bool hasListToken(std::string_view list, std::string_view token);

// Returns a POST request with a JSON body.
HttpRequest makeJsonPost(std::string_view target, std::string_view body);

// Returns the value of the first header of this name, compared without case.
std::optional<std::string> findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

// Returns the target up to its query string.
std::string_view pathOf(std::string_view target);

// Returns the value of a query parameter, percent-decoded.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

// Returns the text with percent-encoded bytes decoded.
std::string percentDecode(std::string_view text);

// Returns the text with all bytes but letters, digits and "-._~" percent-encoded.
std::string percentEncode(std::string_view text);

}
