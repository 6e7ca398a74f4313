#pragma once

#include "Catalog/CatalogKnowledge.h"
#include "Catalog/CatalogSource.h"
#include "Core/Clock.h"
#include "Core/Random.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace Damaskgrade {

// The times below are shares of the bound, so that even after one lost call a change is in force within it.
struct CatalogFollowerSettings {
    // A version that the source has acknowledged must be in force within this time.
    std::chrono::milliseconds applyBound { 2000 };

    // How long the source may hold a call that waits for a change.
    std::chrono::milliseconds watchTimeout() const { return applyBound * 9 / 20; }
    // A call that has not been answered for this time, after the source had to answer it, is followed by another call.
    std::chrono::milliseconds answerTimeout() const { return applyBound / 4; }
    // An entry that does not watch the source reads it if what it knows is older. Longer than a watch and the message in
    // which a peer states its result.
    std::chrono::milliseconds maxAge() const { return applyBound * 7 / 10; }
};

struct CatalogFollowerHooks {
    // Called with the new state when the source becomes reachable or unreachable.
    std::function<void(bool)> onReachable;
    // Called with the duration of each read that failed.
    std::function<void(std::chrono::milliseconds)> onReadFailed;
    // Called with the revision after which the source no longer has the changes.
    std::function<void(std::uint64_t)> onHistoryLost;
    // Returns whether a peer watches the source, so that this entry need not do so.
    std::function<bool()> isWatchedByPeer;
    // Called with what each valid answer states of evacuations. May be empty.
    std::function<void(const EvacuationUpdate&)> onEvacuations {};
};

// Keeps the catalog holder up to date. One entry watches the source by long polling, and the others rely on its
// statements: they read the source when a peer has a newer version, or when what they know is too old. What is known is
// dated by the clock of the source, so neither a late message nor a relayed one makes it look newer than it is.
//
// No call is relied on for longer than it may take. A call without an answer is followed by another one, whether or not the
// connection has failed by then, so the return of the source is noticed within the answer timeout.
//
// Revisions and times are valid within one generation of the source. The version of the catalog is valid beyond it, because
// the operator gives it: a lower version in a new generation is an older copy, which the operator replaces.
class CatalogFollower {
public:
    CatalogFollower(const Clock& clock, Random& random, CatalogSource& source, CatalogHolder& holder, CatalogFollowerSettings settings, CatalogFollowerHooks hooks);

    // Starts the calls that are due. Call several times per second.
    void tick();

    // Handles what a peer knows.
    void handlePeer(const CatalogKnowledge& peer);

    CatalogKnowledge knowledge() const { return { holder_.version(), generation_, completeUntil_, answeredAt_ }; }

    // Returns whether the entry that stated the knowledge has read the source recently, so that it may watch for others.
    bool isReader(const CatalogKnowledge& peer) const;

private:
    struct Call {
        std::uint64_t number { 0 };
        TimePoint startedAt;
        // Time that the source may take; zero for a plain read.
        std::chrono::milliseconds wait { 0 };
    };

    void read();
    void watch();
    Call startCall(std::chrono::milliseconds wait);
    void handle(const Call& call, const CatalogReadResult& result);
    void handleAnswer(const Call& call, const CatalogReadResult& result);
    void startGeneration(StoreGeneration generation);
    void handleFailure(const Call& call);
    bool isOlderThan(const std::optional<SourceTime>& time, std::chrono::milliseconds age) const;
    void setReachable(bool isReachable);
    std::chrono::milliseconds retryDelay();

    const Clock& clock_;
    Random& random_;
    CatalogSource& source_;
    CatalogHolder& holder_;
    CatalogFollowerSettings settings_;
    CatalogFollowerHooks hooks_;
    StoreGeneration generation_ { 0 };
    // The highest generation that a peer has stated.
    StoreGeneration announcedGeneration_ { 0 };
    std::uint64_t revision_ { 0 };
    // The catalog is read before the next watch, because changes since the revision may be missed.
    bool isReadNeeded_ { true };
    bool isReachable_ { false };
    std::uint64_t lastCall_ { 0 };
    bool isLastCallPending_ { false };
    // The last call is overdue, or the next one may start, from this time on.
    TimePoint nextCallAt_;
    // A watch that ended early is not repeated before this time.
    TimePoint nextWatchAt_;
    // The highest version that a peer has stated.
    std::uint64_t announcedVersion_ { 0 };
    std::optional<SourceTime> completeUntil_;
    std::optional<SourceTime> answeredAt_;
    // Start of the call that was last answered, so a time before answeredAt_.
    TimePoint answeredCallAt_;
};

}
