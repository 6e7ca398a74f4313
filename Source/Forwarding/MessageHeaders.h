#pragma once

#include "Forwarding/HeaderNames.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

// What the entry itself states to a backend server.
struct UpstreamHeaderValues {
    std::string serverId;
    std::string customer;
    std::chrono::milliseconds timeLeft { 0 };
    std::optional<int> urgency;
    // Id of the last event that the caller has, if the stream continues there.
    std::optional<std::uint64_t> lastEventId;
};

// Returns the bytes of the request for a backend server: method, target, body and headers of the caller
// without those of the caller's connection, with the entry's own headers in place of the caller's.
std::string serializeUpstreamRequest(const HttpRequest& request, const HeaderNames& names, const UpstreamHeaderValues& values);

// Returns the response headers for the caller, without those of the server's connection.
std::vector<HttpHeader> callerHeaders(const HttpResponse& head, const HeaderNames& names);

}
