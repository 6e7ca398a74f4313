#include "Forwarding/MessageHeaders.h"

#include <algorithm>
#include <array>

namespace Damaskgrade {

namespace {

// Connection headers (RFC 9110, section 7.6.1), and headers that are set for each message.
constexpr std::array<std::string_view, 11> connectionHeaders { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(), [name](std::string_view header) { return equalsIgnoringCase(header, name); });
}

void appendHeader(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

}

std::string serializeUpstreamRequest(const HttpRequest& request, const HeaderNames& names, const UpstreamHeaderValues& values)
{
    auto isReplaced = [&](std::string_view name) {
        return equalsIgnoringCase(name, names.deadline) || equalsIgnoringCase(name, names.customer) || equalsIgnoringCase(name, names.expectedServer)
            || equalsIgnoringCase(name, names.credentials) || equalsIgnoringCase(name, names.engineUrgency)
            || (values.lastEventId && equalsIgnoringCase(name, names.lastEventId));
    };
    std::string text;
    text.reserve(1024 + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    std::string connection = findHeader(request.headers, "Connection").value_or("");
    for (const HttpHeader& header : request.headers) {
        if (!isConnectionHeader(header.name) && !isReplaced(header.name) && !hasListToken(connection, header.name))
            appendHeader(text, header.name, header.value);
    }
    appendHeader(text, names.deadline, std::to_string(values.timeLeft.count()));
    appendHeader(text, names.expectedServer, values.serverId);
    if (!values.customer.empty())
        appendHeader(text, names.customer, values.customer);
    if (values.urgency)
        appendHeader(text, names.engineUrgency, std::to_string(*values.urgency));
    if (values.lastEventId)
        appendHeader(text, names.lastEventId, std::to_string(*values.lastEventId));
    bool hasBody = !request.body.empty() || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE");
    if (hasBody)
        appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    text.append("\r\n").append(request.body);
    return text;
}

std::vector<HttpHeader> callerHeaders(const HttpResponse& head, const HeaderNames& names)
{
    std::vector<HttpHeader> headers;
    std::string connection = findHeader(head.headers, "Connection").value_or("");
    for (const HttpHeader& header : head.headers) {
        bool isInternal = equalsIgnoringCase(header.name, names.serverLoad) || equalsIgnoringCase(header.name, names.rateLimit);
        if (!isInternal && !isConnectionHeader(header.name) && !hasListToken(connection, header.name))
            headers.push_back(header);
    }
    return headers;
}

}
