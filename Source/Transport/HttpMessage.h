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

// Returns whether a response with this status is informational, so that another one follows it.
bool isInformational(int status);

// Compares two strings without regard to the case of ASCII letters, as for header names.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

// Returns whether a comma-separated header value contains the token. The comparison ignores case.
bool hasListToken(std::string_view list, std::string_view token);

// Returns the bytes of an HTTP/1.1 request. The host is the default of the Host header. Without keepsConnection, the request
// asks the server to close the connection after its response.
std::string serializeRequest(const HttpRequest& request, std::string_view host, bool keepsConnection);

// Returns a POST request with a JSON body.
HttpRequest makeJsonPost(std::string_view target, std::string_view body);

// Returns the value of the first header with this name, or std::nullopt. The comparison ignores case.
std::optional<std::string> findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

// Returns the path of a request target, without the query string.
std::string_view pathOf(std::string_view target);

// Returns the percent-decoded value of a query parameter, or std::nullopt if it is missing.
// The value is empty for a parameter without "=".
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

// Decodes percent-encoded bytes. Invalid escape sequences remain unchanged.
std::string percentDecode(std::string_view text);

// Percent-encodes all bytes except for letters, digits and "-._~".
std::string percentEncode(std::string_view text);

}
