#pragma once

#include "Calls/CallMessages.h"
#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

// A call that is queued or running at an engine.
struct EngineCall {
    std::uint64_t id { 0 };
    std::size_t entry { 0 };
    std::shared_ptr<const std::vector<std::uint64_t>> prefix;
    std::size_t uncachedBlocks { 0 };
    std::uint32_t tokensLeft { 0 };
    bool hasFirstToken { false };
    TimePoint lastTokenAt;
};

struct EngineSettings {
    std::size_t batchSize { 16 };
    std::size_t cachedBlocks { 2000 };
    std::size_t prefillBlocksPerStep { 16 };
    Duration stepBase { std::chrono::milliseconds(8) };
    Duration stepPerCall { std::chrono::microseconds(500) };
    Duration stepPerPrefillBlock { std::chrono::milliseconds(1) };
};

struct EngineCounters {
    std::uint64_t promptBlocks { 0 };
    std::uint64_t hitBlocks { 0 };
};

// Simulates a model engine with continuous batching, chunked prefill and a prefix cache that evicts the least recently
// stored block.
class EngineModel {
public:
    struct Progress {
        std::vector<EngineCall> firstTokens;
        std::vector<EngineCall> ended;
        std::vector<Duration> tokenIntervals;
    };

    explicit EngineModel(EngineSettings settings);

    void submit(EngineCall call);
    void cancel(std::uint64_t id);
    // Runs all steps that are due, and returns the tokens and ends of calls that they produced.
    Progress advance(TimePoint now);

    void setSlowness(double factor) { slowness_ = factor; }
    void setStalled(bool isStalled) { isStalled_ = isStalled; }
    // Discards all calls and the cache.
    void restart();

    LoadReport report() const;
    std::vector<CacheEvent> takeCacheEvents();
    std::size_t calls() const { return waitQueue_.size() + running_.size(); }
    const EngineCounters& counters() const { return counters_; }

private:
    void fillBatch();
    Duration runStep(TimePoint stepEnd, Progress& progress);
    Duration prefill();
    std::size_t cachedPrefixBlocks(const std::vector<std::uint64_t>& prefix) const;
    void store(std::uint64_t hash);

    EngineSettings settings_;
    double slowness_ { 1 };
    bool isStalled_ { false };
    TimePoint nextStepAt_;
    Duration lastStep_ { 0 };
    std::deque<EngineCall> waitQueue_;
    std::vector<EngineCall> running_;
    std::list<std::uint64_t> cacheOrder_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
    std::vector<CacheEvent> events_;
    std::uint64_t nextSequence_ { 1 };
    EngineCounters counters_;
};

}
