#pragma once

#include "RankMaps/RankReport.h"

#include <functional>
#include <optional>

namespace Damaskgrade {

// The engine of one rank. Each callback gets nothing if the engine does not answer in time.
class RankEngine {
public:
    virtual ~RankEngine() = default;

    virtual void report(std::function<void(std::optional<RankReport>)> done) = 0;
    // Counts since the start of the engine.
    virtual void counts(std::function<void(std::optional<ExpertCounts>)> done) = 0;
    virtual void lists(std::function<void(std::optional<RankLists>)> done) = 0;
    virtual void order(const RankOrder& order, std::function<void(RankOrderResult)> done) = 0;
};

}
