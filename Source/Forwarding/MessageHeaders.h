#pragma once

#include "Forwarding/HeaderNames.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Values of the headers that the entry sets in a request to a backend server.
struct UpstreamHeaderValues {
    std::string serverId;
    std::string customer;
    std::chrono::milliseconds timeLeft { 0 };
    // Order of the request at the engine: lower values are more urgent. Set for streams only.
    std::optional<int> urgency;
    // Id of the last event that the caller received, if the request resumes a stream.
    std::optional<std::uint64_t> lastEventId;
};

// Returns the request for a backend server as HTTP/1.1 bytes. Method, target, body and headers are those of the
// caller, except for connection headers, which are removed, and headers that the entry sets, which are replaced.
std::string serializeUpstreamRequest(const HttpRequest& request, const HeaderNames& names, const UpstreamHeaderValues& values);

// Returns the response headers for the caller, without connection headers and without the server's load and
// rate limit.
std::vector<HttpHeader> callerHeaders(const HttpResponse& head, const HeaderNames& names);

}
