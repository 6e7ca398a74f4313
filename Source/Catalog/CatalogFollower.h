#pragma once

#include "Catalog/CatalogSource.h"
#include "Core/Random.h"
#include "Transport/EventLoop.h"

#include <memory>

namespace Damaskgrade {

struct CatalogFollowerSettings {
    // A connection that no longer delivers data is detected only after this time, so this bounds the delay of a change.
    std::chrono::milliseconds longPollTimeout { 3000 };
    std::chrono::milliseconds minRetryDelay { 150 };
    std::chrono::milliseconds maxRetryDelay { 600 };
};

// Updates a catalog holder from a source: reads the catalog once, then waits for changes by long polling.
class CatalogFollower {
public:
    // onReachable is called with the new state when the source becomes reachable or unreachable.
    CatalogFollower(EventLoop& loop, Random& random, CatalogSource& source, CatalogHolder& holder, CatalogFollowerSettings settings,
        std::function<void(bool)> onReachable);

    void start() { readAll(); }

private:
    void readAll();
    void awaitChange();
    void handle(const CatalogReadResult& result);
    void retryLater();
    void setReachable(bool isReachable);

    EventLoop& loop_;
    Random& random_;
    CatalogSource& source_;
    CatalogHolder& holder_;
    CatalogFollowerSettings settings_;
    std::function<void(bool)> onReachable_;
    std::unique_ptr<Timer> retryTimer_;
    std::chrono::milliseconds retryDelay_;
    std::uint64_t revision_ { 0 };
    bool hasRevision_ { false };
    bool isReachable_ { false };
};

}
