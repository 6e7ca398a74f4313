#pragma once

#include "Catalog/CatalogHolder.h"
#include "Forwarding/ForwardedRequest.h"
#include "Forwarding/ForwardingContext.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace Damaskgrade {

// Takes the requests of callers: finds route and customer in the catalog in force, and drives each
// request to its end.
class Forwarder {
public:
    Forwarder(EventLoop& loop, ForwardingContext& context, const CatalogHolder& catalog, Random& random);

    void handle(std::shared_ptr<HttpExchange> exchange);

    // Checks the limits of all requests. Call about 20 times a second.
    void tick();

    // From now on requests that may last longer than this are refused as not executed, because this process ends.
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
