#include "StreamCapacity/LockStepGroup.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

LockStepGroup::LockStepGroup(const Clock& clock, Random& random, EngineModel engine, std::size_t ranks, double skew, LockStepGroupHooks hooks)
    : clock_(clock)
    , random_(random)
    , engine_(engine)
    , skew_(skew)
    , hooks_(std::move(hooks))
    , ranks_(ranks)
{
    startPass();
}

void LockStepGroup::send(std::size_t rank, GroupStream stream)
{
    ranks_[rank].queue.push_back(stream);
}

void LockStepGroup::cancel(std::size_t rank, std::uint64_t id)
{
    auto isCancelled = [id](const GroupStream& stream) { return stream.id == id; };
    Rank& state = ranks_[rank];
    state.queue.erase(std::remove_if(state.queue.begin(), state.queue.end(), isCancelled), state.queue.end());
    state.running.erase(std::remove_if(state.running.begin(), state.running.end(), isCancelled), state.running.end());
}

void LockStepGroup::tick()
{
    if (clock_.now() < passEndsAt_)
        return;
    endPass();
    startPass();
}

void LockStepGroup::startPass()
{
    double totalWork = 0;
    double highestWork = 0;
    double longestReading = 0;
    for (Rank& rank : ranks_) {
        while (!rank.queue.empty() && rank.running.size() < engine_.slots) {
            rank.running.push_back(rank.queue.front());
            rank.queue.pop_front();
        }
        double work = 0;
        for (const GroupStream& stream : rank.running)
            work += engine_.requestMillisecondsPerStep + engine_.contextMillisecondsPerStep * stream.contextTokens / 1000;
        totalWork += work;
        highestWork = std::max(highestWork, work);
        longestReading = std::max(longestReading, readingMilliseconds(rank));
    }
    double skew = skew_ + 0.1 * (random_.fraction() - 0.5);
    double tokens = (1 - engine_.expertShare) * highestWork + engine_.expertShare * skew * totalWork / static_cast<double>(ranks_.size());
    double pass = engine_.stepsPerPass * (engine_.stepMilliseconds + tokens) + longestReading;
    passEndsAt_ = clock_.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(pass));
}

// Each step reads up to 512 tokens, and all ranks wait for the one that reads most.
double LockStepGroup::readingMilliseconds(Rank& rank) const
{
    double budget = 512.0 * engine_.stepsPerPass;
    double milliseconds = 0;
    for (GroupStream& stream : rank.running) {
        double tokens = std::min(budget, stream.unreadTokens);
        if (tokens <= 0)
            continue;
        budget -= tokens;
        stream.unreadTokens -= tokens;
        milliseconds += 1000 * tokens / engine_.promptTokensPerSecond + engine_.millisecondsPerMillionPairs * tokens * (stream.contextTokens + tokens / 2) / 1e6;
        stream.contextTokens += tokens;
    }
    return milliseconds;
}

void LockStepGroup::endPass()
{
    std::vector<std::uint64_t> advanced;
    std::vector<std::uint64_t> ended;
    for (Rank& rank : ranks_) {
        for (GroupStream& stream : rank.running) {
            if (stream.unreadTokens > 0)
                continue;
            stream.remainingTokens -= engine_.stepsPerPass;
            stream.contextTokens += engine_.stepsPerPass;
            (stream.remainingTokens > 0 ? advanced : ended).push_back(stream.id);
        }
        auto isEnded = [](const GroupStream& stream) { return stream.remainingTokens <= 0; };
        rank.running.erase(std::remove_if(rank.running.begin(), rank.running.end(), isEnded), rank.running.end());
    }
    for (std::uint64_t id : advanced)
        hooks_.onEvent(id);
    for (std::uint64_t id : ended) {
        hooks_.onEvent(id);
        hooks_.onEnd(id);
    }
}

}
