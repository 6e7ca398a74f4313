#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"
#include "Forwarding/EventSplitter.h"
#include "Forwarding/PromptGuard.h"
#include "Transport/HttpMessage.h"
#include "Transport/UpstreamConnection.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace Damaskgrade {

// An attempt whose server is silent, while the request is tried at another server as well. It becomes the current
// attempt again if its server continues first, or if the other attempt fails.
struct HeldAttempt {
    std::uint32_t number { 0 };
    ServerRecord server;
    std::shared_ptr<UpstreamConnection> connection;
    bool isReusedConnection { false };
    TimePoint sentAt;
    std::optional<TimePoint> begunAt;
    bool hasSurvivedStart { false };
    // Set if the head of the response has arrived, and with it the splitter.
    std::optional<HttpResponse> head;
    std::shared_ptr<EventSplitter> splitter;

    PromptExposure exposure() const { return { sentAt, hasSurvivedStart, splitter && !begunAt }; }
};

}
