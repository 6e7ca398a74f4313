#pragma once

#include "Catalog/CatalogHolder.h"
#include "Forwarding/ForwardedRequest.h"
#include "Forwarding/ForwardingContext.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace Damaskgrade {

// Accepts the requests of callers: looks up route and customer in the catalog in force and processes each request
// until it is complete.
class Forwarder {
public:
    Forwarder(EventLoop& loop, ForwardingContext& context, const CatalogHolder& catalog, Random& random);

    void handle(std::shared_ptr<HttpExchange> exchange);

    // Checks the timeouts of all requests. Call about 20 times per second.
    void tick();

    // Sets the time at which this process ends. New requests whose timeout is later are refused as not executed.
    void setShutdownTime(TimePoint end) { shutdownTime_ = end; }

    std::size_t activeCount() const { return active_.size(); }

private:
    void respondWithError(HttpExchange& exchange, int status, ResultCode code, std::string_view detail);
    std::string selectService(const Route& route);
    void requestDone(ForwardedRequest* request);
    void processWaitQueue();

    EventLoop& loop_;
    ForwardingContext& context_;
    const CatalogHolder& catalog_;
    Random& random_;
    std::optional<TimePoint> shutdownTime_;
    bool isProcessingPosted_ { false };
    std::unordered_map<ForwardedRequest*, std::shared_ptr<ForwardedRequest>> active_;
};

}
