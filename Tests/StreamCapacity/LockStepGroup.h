#pragma once

#include "Catalog/Catalog.h"
#include "Core/Clock.h"
#include "Core/Random.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace Damaskgrade {

// A stream as an engine sees it.
struct GroupStream {
    std::uint64_t id { 0 };
    double unreadTokens { 0 };
    double contextTokens { 0 };
    double remainingTokens { 0 };
};

struct LockStepGroupHooks {
    std::function<void(std::uint64_t id)> onEvent;
    std::function<void(std::uint64_t id)> onEnd;
};

// A group of engines that execute each pass together. Their figures are those that the operator publishes. What is not
// published is the load of the most loaded rank for experts (skew).
class LockStepGroup {
public:
    LockStepGroup(const Clock& clock, Random& random, EngineModel engine, std::size_t ranks, double skew, LockStepGroupHooks hooks);

    void send(std::size_t rank, GroupStream stream);
    void cancel(std::size_t rank, std::uint64_t id);

    // Ends the pass if its time is over, and starts the next one.
    void tick();

private:
    struct Rank {
        std::deque<GroupStream> queue;
        std::vector<GroupStream> running;
    };

    void startPass();
    void endPass();
    double readingMilliseconds(Rank& rank) const;

    const Clock& clock_;
    Random& random_;
    EngineModel engine_;
    double skew_;
    LockStepGroupHooks hooks_;
    std::vector<Rank> ranks_;
    TimePoint passEndsAt_;
};

}
