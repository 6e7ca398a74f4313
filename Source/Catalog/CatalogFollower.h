#pragma once

#include "Catalog/CatalogSource.h"
#include "Core/Clock.h"
#include "Core/Random.h"

#include <functional>
#include <optional>

namespace Damaskgrade {

struct CatalogFollowerSettings {
    // A connection that no longer delivers data is detected only after this time, so this bounds the delay of a change.
    std::chrono::milliseconds longPollTimeout { 3000 };
    std::chrono::milliseconds minRetryDelay { 150 };
    std::chrono::milliseconds maxRetryDelay { 600 };
};

struct CatalogFollowerHooks {
    // Called with the new state when the source becomes reachable or unreachable.
    std::function<void(bool)> onReachable;
    // Called with the duration of each read that failed.
    std::function<void(std::chrono::milliseconds)> onReadFailed;
};

// Updates a catalog holder from a source: reads the catalog once, then waits for changes by long polling.
class CatalogFollower {
public:
    CatalogFollower(const Clock& clock, Random& random, CatalogSource& source, CatalogHolder& holder, CatalogFollowerSettings settings, CatalogFollowerHooks hooks);

    void start() { readAll(); }

    // Starts the calls that are due. Call several times per second.
    void tick();

private:
    void readAll();
    void awaitChange();
    CatalogSource::Done handler();
    void handle(const CatalogReadResult& result);
    void retryLater();
    void setReachable(bool isReachable);

    const Clock& clock_;
    Random& random_;
    CatalogSource& source_;
    CatalogHolder& holder_;
    CatalogFollowerSettings settings_;
    CatalogFollowerHooks hooks_;
    std::optional<TimePoint> retryAt_;
    std::chrono::milliseconds retryDelay_;
    std::uint64_t revision_ { 0 };
    bool hasRevision_ { false };
    bool isReachable_ { false };
};

}
