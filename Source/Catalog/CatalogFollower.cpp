#include "Catalog/CatalogFollower.h"

#include <utility>

namespace Damaskgrade {

CatalogFollower::CatalogFollower(const Clock& clock, Random& random, CatalogSource& source, CatalogHolder& holder, CatalogFollowerSettings settings, CatalogFollowerHooks hooks)
    : clock_(clock)
    , random_(random)
    , source_(source)
    , holder_(holder)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , nextCallAt_(clock.now())
    , nextWatchAt_(clock.now())
{
}

void CatalogFollower::tick()
{
    if (clock_.now() < nextCallAt_)
        return;
    bool isOverdue = isLastCallPending_;
    if (isOverdue)
        setReachable(false);
    if (isReadNeeded_ || isOverdue || isOlderThan(completeUntil_, settings_.maxAge()))
        read();
    else if (clock_.now() >= nextWatchAt_ && !hooks_.isWatchedByPeer())
        watch();
}

void CatalogFollower::handlePeer(const CatalogKnowledge& peer)
{
    bool isNewVersion = peer.version > holder_.version() && peer.version > announcedVersion_;
    bool isNewGeneration = peer.generation > generation_ && peer.generation > announcedGeneration_;
    announcedVersion_ = std::max(announcedVersion_, peer.version);
    announcedGeneration_ = std::max(announcedGeneration_, peer.generation);
    if (isNewVersion || isNewGeneration)
        read();
    // A peer with an older version may have missed a change; one with a newer version does not confirm the local one.
    if (peer.version == holder_.version() && peer.generation == generation_)
        completeUntil_ = std::max(completeUntil_, peer.completeUntil);
}

bool CatalogFollower::isReader(const CatalogKnowledge& peer) const
{
    return peer.generation == generation_ && !isOlderThan(peer.answeredAt, settings_.applyBound);
}

void CatalogFollower::read()
{
    Call call = startCall(std::chrono::milliseconds::zero());
    source_.read([this, call](const CatalogReadResult& result) { handle(call, result); });
}

void CatalogFollower::watch()
{
    Call call = startCall(settings_.watchTimeout());
    source_.awaitChange(revision_, call.wait, [this, call](const CatalogReadResult& result) { handle(call, result); });
}

CatalogFollower::Call CatalogFollower::startCall(std::chrono::milliseconds wait)
{
    isLastCallPending_ = true;
    nextCallAt_ = clock_.now() + wait + retryDelay();
    return { ++lastCall_, clock_.now(), wait };
}

void CatalogFollower::handle(const Call& call, const CatalogReadResult& result)
{
    if (call.number == lastCall_)
        isLastCallPending_ = false;
    if (result.status == CatalogReadStatus::Unavailable)
        handleFailure(call);
    else
        handleAnswer(call, result);
}

void CatalogFollower::handleAnswer(const Call& call, const CatalogReadResult& result)
{
    bool isWatch = call.wait > std::chrono::milliseconds::zero();
    bool isEarly = isWatch && !result.version.catalog && clock_.now() - call.startedAt < call.wait;
    if (isEarly)
        nextWatchAt_ = call.startedAt + retryDelay();
    if (call.number == lastCall_) {
        nextCallAt_ = clock_.now();
        isReadNeeded_ = false;
    }
    setReachable(true);
    if (result.status == CatalogReadStatus::HistoryLost)
        hooks_.onHistoryLost(revision_);
    bool isNewGeneration = result.generation > generation_;
    if (isNewGeneration)
        startGeneration(result.generation);
    bool isOfLostHistory = result.generation < generation_;
    if (isOfLostHistory)
        nextCallAt_ = std::max(nextCallAt_, call.startedAt + retryDelay());
    // A watch that was started in another generation may have missed changes.
    if (result.status == CatalogReadStatus::HistoryLost || (isNewGeneration && isWatch) || isOfLostHistory) {
        revision_ = 0;
        isReadNeeded_ = true;
    } else {
        // The source may return a snapshot that is older than one it returned before.
        revision_ = std::max(revision_, result.revision);
        completeUntil_ = std::max<std::optional<SourceTime>>(completeUntil_, result.time);
        answeredAt_ = result.time;
        answeredCallAt_ = call.startedAt;
        if (result.status == CatalogReadStatus::Ok && hooks_.onEvacuations)
            hooks_.onEvacuations({ { result.generation, result.revision }, !isWatch, result.evacuations });
    }
    if (result.status == CatalogReadStatus::Ok)
        holder_.applyIfNewer(result.version);
    tick();
}

void CatalogFollower::startGeneration(StoreGeneration generation)
{
    generation_ = generation;
    revision_ = 0;
    completeUntil_.reset();
    answeredAt_.reset();
}

void CatalogFollower::handleFailure(const Call& call)
{
    hooks_.onReadFailed(std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - call.startedAt));
    // Later calls show whether the source has returned since.
    if (call.number != lastCall_)
        return;
    setReachable(false);
    isReadNeeded_ = true;
    nextCallAt_ = std::max(clock_.now(), call.startedAt + retryDelay());
}

// Errs towards a higher age, by the duration of the last answered call. Returns true if the age is not known.
bool CatalogFollower::isOlderThan(const std::optional<SourceTime>& time, std::chrono::milliseconds age) const
{
    if (!time || !answeredAt_)
        return true;
    return *answeredAt_ - *time + (clock_.now() - answeredCallAt_) >= age;
}

void CatalogFollower::setReachable(bool isReachable)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    hooks_.onReachable(isReachable);
}

// Random, so that the calls of all entries do not stay in step after an event that they have in common.
std::chrono::milliseconds CatalogFollower::retryDelay()
{
    std::chrono::milliseconds longest = settings_.answerTimeout();
    return longest - std::chrono::milliseconds(random_.index(static_cast<std::size_t>(longest.count() / 4) + 1));
}

}
