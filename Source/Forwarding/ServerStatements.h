#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"
#include "Forwarding/ForwardingContext.h"
#include "Transport/HttpMessage.h"

#include <string_view>

namespace Damaskgrade {

// The head of a server's response and the attempt to which it belongs.
struct ServerResponseHead {
    const ServerRecord& server;
    const HttpResponse& head;
    std::string_view requestId;
    TimePoint sentAt;
    // The server states that it did not execute the request.
    bool isRefusal { false };
};

// Records what the head states of the server itself: that it leaves, wants a pause, or takes a limited rate of requests.
void recordServerStatements(ForwardingContext& context, const ServerResponseHead& response);

}
