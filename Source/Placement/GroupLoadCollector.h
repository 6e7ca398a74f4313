#pragma once

#include "Placement/ExpertLoadEstimate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// What one engine of a group reports.
struct EngineExpertLoad {
    // Tokens of each expert since the start of the engine.
    std::vector<std::uint64_t> expertTokens;
    // Seconds of each rank for one token of an expert.
    std::vector<double> rankTokenSeconds;
};

// Joins the reports of the engines of a group into samples of the group. The ranks of the group
// are those of its engines in the order of the members.
class GroupLoadCollector {
public:
    explicit GroupLoadCollector(std::vector<std::string> members);

    // Ignores a report of an engine that is no member.
    void observe(const std::string& member, const EngineExpertLoad& load);

    // Says whether every member has reported since the last sample, all with the same number of experts.
    bool isComplete() const;

    std::size_t rankCount() const;
    std::size_t expertCount() const;

    // Returns the load since the last sample and starts the next one. Call only if complete.
    // The map must have the ranks and experts of the group.
    ExpertLoadSample takeSample(TimePoint now, const ExpertMap& map);

private:
    struct Member {
        EngineExpertLoad lastReport;
        // Tokens of each expert since the last sample.
        std::vector<double> tokensSinceSample;
        bool hasReported { false };
    };

    std::vector<std::string> memberOrder_;
    std::map<std::string, Member> members_;
};

}
