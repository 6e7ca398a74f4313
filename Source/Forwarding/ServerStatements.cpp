#include "Forwarding/ServerStatements.h"

#include "Forwarding/HeaderValues.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

namespace Damaskgrade {

namespace {

// Bounds what is logged of a value that a server states.
constexpr std::size_t maxLoggedValue = 32;

// A server that refuses requests may state how long it wants none.
void recordPause(ForwardingContext& context, const ServerResponseHead& response)
{
    std::optional<std::string> text = findHeader(response.head.headers, context.names.retryAfter);
    if (response.head.status != statusUnavailable || !text)
        return;
    std::optional<double> seconds = parseNonNegative(*text);
    LogLine line("serverPaused");
    line.add("server", response.server.id).add("request", response.requestId).add("stated", text->substr(0, maxLoggedValue));
    if (seconds) {
        Duration duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(*seconds, std::chrono::duration<double>(context.settings.maxServerPause).count())));
        context.selector.pause(response.server, duration);
        ++context.counters.serverPauses;
        line.add("pauseMs", std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }
    context.log.write(line);
}

// Any response may state a limit. That a server has none is taken only from a response of the server itself, which a
// refusal may not be.
void recordRateLimit(ForwardingContext& context, const ServerResponseHead& response)
{
    std::optional<std::string> text = findHeader(response.head.headers, context.names.rateLimit);
    std::optional<double> perSecond = text ? parseNonNegative(*text) : std::nullopt;
    bool isOwnSuccess = isSuccess(response.head.status) && !response.isRefusal && isAuthentic(response.head, context.names);
    if (perSecond || (!text && isOwnSuccess))
        context.rateLimits.recordResponse(response.server.id, perSecond, response.sentAt);
}

}

void recordServerStatements(ForwardingContext& context, const ServerResponseHead& response)
{
    const ServerRecord& server = response.server;
    bool isLeaving = findHeader(response.head.headers, context.names.leaving) == "1";
    if (isLeaving && context.fleet.recordLeaving({ server.id, server.startedAt }))
        context.log.write(LogLine("serverStatedLeaving").add("server", server.id).add("request", response.requestId).add("status", response.head.status));
    if (context.onResponse)
        context.onResponse(server, response.head, response.sentAt);
    recordPause(context, response);
    recordRateLimit(context, response);
}

}
