#pragma once

#include "RankMaps/RankReport.h"

#include <chrono>
#include <functional>
#include <optional>

namespace Damaskgrade {

// Client of the engine of one rank. The callbacks of report(), counts() and lists() are called with std::nullopt, and
// that of order() with RankOrderResult::Unknown, if the engine does not respond in time.
class RankEngine {
public:
    virtual ~RankEngine() = default;

    virtual void report(std::function<void(std::optional<RankReport>)> done) = 0;
    // Requests the counts since the start of the engine.
    virtual void counts(std::function<void(std::optional<ExpertCounts>)> done) = 0;
    virtual void lists(std::function<void(std::optional<RankLists>)> done) = 0;
    // After a timeout the engine may still execute the order seconds later.
    virtual void order(const RankOrder& order, std::chrono::milliseconds timeout, std::function<void(RankOrderResult)> done) = 0;
};

// Short, because the whole group waits for most orders. An engine that is not slow responds within a few milliseconds.
constexpr std::chrono::milliseconds engineOrderTimeout { 50 };

}
