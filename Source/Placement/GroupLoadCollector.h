#pragma once

#include "Placement/ExpertLoadEstimate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// The load report of one engine.
struct EngineExpertLoad {
    // Tokens of each expert since the engine started.
    std::vector<std::uint64_t> expertTokens;
    // Compute time of each rank per token of an expert, in seconds.
    std::vector<double> rankTokenSeconds;
};

// Combines the load reports of the engines of a group into samples for the group. The ranks of the
// group are the ranks of its engines, in the order of the members.
class GroupLoadCollector {
public:
    explicit GroupLoadCollector(std::vector<std::string> members);

    // Ignores a report of an engine that is not a member of the group.
    void observe(const std::string& member, const EngineExpertLoad& load);

    // Returns whether all members have reported since the last sample, with the same number of experts.
    bool isComplete() const;

    std::size_t rankCount() const;
    std::size_t expertCount() const;

    // Returns the load since the last sample and starts the next sample. Must be called only if
    // isComplete(). The map must have as many ranks and experts as the group.
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
