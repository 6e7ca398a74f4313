#include "EngineModel.h"

#include <algorithm>

namespace Damaskgrade {

EngineModel::EngineModel(EngineSettings settings)
    : settings_(settings)
{
}

void EngineModel::submit(EngineCall call)
{
    waitQueue_.push_back(std::move(call));
}

void EngineModel::cancel(std::uint64_t id)
{
    auto isCall = [id](const EngineCall& call) { return call.id == id; };
    waitQueue_.erase(std::remove_if(waitQueue_.begin(), waitQueue_.end(), isCall), waitQueue_.end());
    running_.erase(std::remove_if(running_.begin(), running_.end(), isCall), running_.end());
}

EngineModel::Progress EngineModel::advance(TimePoint now)
{
    Progress progress;
    if (isStalled_)
        return progress;
    while (nextStepAt_ <= now) {
        fillBatch();
        if (running_.empty()) {
            lastStep_ = Duration::zero();
            nextStepAt_ = now + std::chrono::milliseconds(1);
            break;
        }
        // After a stall, the engine makes up for at most the last 100 ms.
        nextStepAt_ = std::max(nextStepAt_, now - std::chrono::milliseconds(100));
        lastStep_ = runStep(nextStepAt_, progress);
        nextStepAt_ += lastStep_;
    }
    return progress;
}

void EngineModel::restart()
{
    waitQueue_.clear();
    running_.clear();
    cache_.clear();
    cacheOrder_.clear();
    events_.clear();
    nextSequence_ = 1;
}

LoadReport EngineModel::report() const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(running_.size());
    report.queued = static_cast<std::uint32_t>(waitQueue_.size());
    report.capacity = static_cast<std::uint32_t>(settings_.batchSize);
    report.stepTime = std::chrono::duration_cast<std::chrono::microseconds>(lastStep_);
    return report;
}

std::vector<CacheEvent> EngineModel::takeCacheEvents()
{
    std::vector<CacheEvent> events;
    events.swap(events_);
    return events;
}

void EngineModel::fillBatch()
{
    while (!waitQueue_.empty() && running_.size() < settings_.batchSize) {
        EngineCall call = std::move(waitQueue_.front());
        waitQueue_.pop_front();
        std::size_t hits = cachedPrefixBlocks(*call.prefix);
        counters_.promptBlocks += call.prefix->size();
        counters_.hitBlocks += hits;
        call.uncachedBlocks = call.prefix->size() - hits;
        running_.push_back(std::move(call));
    }
}

Duration EngineModel::runStep(TimePoint stepEnd, Progress& progress)
{
    Duration length = settings_.stepBase + settings_.stepPerCall * running_.size() + prefill();
    std::vector<EngineCall> remaining;
    remaining.reserve(running_.size());
    for (EngineCall& call : running_) {
        if (call.uncachedBlocks > 0) {
            remaining.push_back(std::move(call));
            continue;
        }
        if (call.hasFirstToken) {
            progress.tokenIntervals.push_back(stepEnd - call.lastTokenAt);
        } else {
            call.hasFirstToken = true;
            for (std::uint64_t hash : *call.prefix)
                store(hash);
            progress.firstTokens.push_back(call);
        }
        call.lastTokenAt = stepEnd;
        if (--call.tokensLeft == 0)
            progress.ended.push_back(std::move(call));
        else
            remaining.push_back(std::move(call));
    }
    running_ = std::move(remaining);
    return std::chrono::duration_cast<Duration>(length * slowness_);
}

Duration EngineModel::prefill()
{
    std::size_t budget = settings_.prefillBlocksPerStep;
    for (EngineCall& call : running_) {
        std::size_t blocks = std::min(budget, call.uncachedBlocks);
        call.uncachedBlocks -= blocks;
        budget -= blocks;
    }
    return settings_.stepPerPrefillBlock * static_cast<std::int64_t>(settings_.prefillBlocksPerStep - budget);
}

std::size_t EngineModel::cachedPrefixBlocks(const std::vector<std::uint64_t>& prefix) const
{
    std::size_t count = 0;
    while (count < prefix.size() && cache_.count(prefix[count]) > 0)
        ++count;
    return count;
}

void EngineModel::store(std::uint64_t hash)
{
    auto found = cache_.find(hash);
    if (found != cache_.end()) {
        cacheOrder_.splice(cacheOrder_.begin(), cacheOrder_, found->second);
        return;
    }
    cacheOrder_.push_front(hash);
    cache_[hash] = cacheOrder_.begin();
    events_.push_back({ nextSequence_++, CacheEventKind::Stored, hash });
    if (cache_.size() <= settings_.cachedBlocks)
        return;
    events_.push_back({ nextSequence_++, CacheEventKind::Evicted, cacheOrder_.back() });
    cache_.erase(cacheOrder_.back());
    cacheOrder_.pop_back();
}

}
