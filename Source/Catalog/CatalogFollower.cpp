#include "Catalog/CatalogFollower.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

CatalogFollower::CatalogFollower(const Clock& clock, Random& random, CatalogSource& source, CatalogHolder& holder, CatalogFollowerSettings settings, CatalogFollowerHooks hooks)
    : clock_(clock)
    , random_(random)
    , source_(source)
    , holder_(holder)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , retryDelay_(settings.minRetryDelay)
{
}

void CatalogFollower::readAll()
{
    hasRevision_ = false;
    source_.read(handler());
}

void CatalogFollower::awaitChange()
{
    source_.awaitChange(revision_, settings_.longPollTimeout, handler());
}

CatalogSource::Done CatalogFollower::handler()
{
    return [this, startedAt = clock_.now()](const CatalogReadResult& result) {
        if (result.status == CatalogReadStatus::Unavailable)
            hooks_.onReadFailed(std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - startedAt));
        handle(result);
    };
}

void CatalogFollower::handle(const CatalogReadResult& result)
{
    if (result.status == CatalogReadStatus::Unavailable) {
        setReachable(false);
        retryLater();
        return;
    }
    setReachable(true);
    retryDelay_ = settings_.minRetryDelay;
    if (result.status == CatalogReadStatus::HistoryLost) {
        readAll();
        return;
    }
    holder_.applyIfNewer(result.version);
    // The source may return a snapshot that is older than one it returned before.
    revision_ = std::max(revision_, result.revision);
    hasRevision_ = true;
    awaitChange();
}

void CatalogFollower::retryLater()
{
    std::chrono::milliseconds half = retryDelay_ / 2;
    std::chrono::milliseconds delay = half + std::chrono::milliseconds(random_.index(static_cast<std::size_t>(half.count()) + 1));
    retryDelay_ = std::min(retryDelay_ * 2, settings_.maxRetryDelay);
    retryAt_ = clock_.now() + delay;
}

void CatalogFollower::tick()
{
    if (!retryAt_ || clock_.now() < *retryAt_)
        return;
    retryAt_.reset();
    if (hasRevision_)
        awaitChange();
    else
        readAll();
}

void CatalogFollower::setReachable(bool isReachable)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    hooks_.onReachable(isReachable);
}

}
