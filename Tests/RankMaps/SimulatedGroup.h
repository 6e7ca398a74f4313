#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "RankMaps/RankReport.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Damaskgrade {

// Model of a lock-step group that follows the published rules for orders. It is independent of the controllers, and
// counts the passes that begin with two maps.
class SimulatedGroup {
public:
    struct Layout {
        std::uint32_t ranks { 0 };
        std::uint32_t sets { 0 };
        std::uint32_t expertsPerSet { 0 };
        std::uint32_t slotsPerRank { 0 };
        std::uint32_t spareSlots { 0 };
    };

    SimulatedGroup(const ManualClock& clock, const Layout& layout, Random& random);

    void shiftDemand();

    // Begins the next pass unless a rank holds it, and returns how long it takes or, if it is held, when to try again.
    Duration beginPass();

    RankReport report(std::uint32_t rank) const;
    ExpertCounts counts(std::uint32_t rank);
    RankLists lists(std::uint32_t rank) const;
    RankOrderResult execute(std::uint32_t rank, const RankOrder& order);

    double skew() const { return skew_; }
    std::uint64_t passes() const { return pass_; }
    std::uint64_t mixedPasses() const { return mixedPasses_; }
    std::uint64_t completedChanges() const { return completedChanges_; }
    Duration longestHold() const { return longestHold_; }
    // From the first order to prepare a map until the first pass with it, for the last change.
    Duration lastChangeTime() const { return lastChangeTime_; }

private:
    struct Map {
        RankMapVersion version { 0 };
        std::shared_ptr<const GroupMap> experts;
    };

    struct Rank {
        Map map;
        std::optional<Map> prepared;
        TimePoint preparedAt;
        std::optional<ArmedMap> armed;
        std::optional<std::uint64_t> held;
        RankMapVersion highest { 0 };
        std::uint64_t token { 0 };
    };

    RankOrderResult prepare(Rank& rank, std::uint32_t number, const RankOrder& order);
    bool isPrepared(const Rank& rank) const;
    void accumulateCounts();
    void updateSkew();

    const ManualClock& clock_;
    Layout layout_;
    Random& random_;
    std::vector<Rank> ranks_;
    // Demand for each expert of each set, in selections a second at one rank, and the selections so far.
    std::vector<double> demand_;
    std::vector<double> selections_;
    TimePoint accumulatedAt_;
    std::uint64_t pass_ { 0 };
    double skew_ { 1 };
    std::uint64_t mixedPasses_ { 0 };
    std::uint64_t completedChanges_ { 0 };
    TimePoint passBegunAt_;
    Duration longestHold_ { 0 };
    Duration lastChangeTime_ { 0 };
    std::optional<TimePoint> changeStartedAt_;
    RankMapVersion startedVersion_ { 0 };
};

}
