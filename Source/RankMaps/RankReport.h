#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// Version of an expert map of a group; 0 is the map that a group starts with.
using RankMapVersion = std::uint64_t;

struct ArmedMap {
    RankMapVersion version { 0 };
    // The first pass that uses the map.
    std::uint64_t pass { 0 };
};

inline bool operator==(const ArmedMap& left, const ArmedMap& right)
{
    return left.version == right.version && left.pass == right.pass;
}

// State of the engine of one rank.
struct RankReport {
    std::string group;
    std::uint32_t rank { 0 };
    std::uint32_t groupSize { 0 };
    // Increases with each group restart. A new epoch starts with map 0 and nothing prepared, armed or held.
    std::uint64_t epoch { 0 };
    // A group opens only some time after its restart. A group that is not open refuses holds.
    bool isOpen { false };
    // The last pass that has begun.
    std::uint64_t pass { 0 };
    RankMapVersion mapVersion { 0 };
    std::optional<RankMapVersion> prepared;
    std::optional<ArmedMap> armed;
    // The group does not begin this pass before it gets an order to go.
    std::optional<std::uint64_t> heldPass;
    // The highest pass of the orders to arm the rank that its agent has passed on in this epoch. Absent if the agent does
    // not know it, because it started too recently, or if the report is not from the agent.
    std::optional<std::uint64_t> highestArmOrderPass;
    // Above 1 if the engine is slow.
    double pace { 1 };
    // Number of requests that the engine executes.
    std::uint32_t running { 0 };
};

// Experts of one rank, by set of layers.
using RankExperts = std::vector<std::vector<std::uint32_t>>;

// A complete map: for each set and rank, the experts that the rank holds.
using GroupMap = std::vector<std::vector<std::vector<std::uint32_t>>>;

// How often the requests of a rank selected each expert, by set.
struct ExpertCounts {
    std::uint64_t epoch { 0 };
    std::vector<double> counts;
};

// The experts that a rank holds, and the version of the map to which they belong.
struct RankLists {
    RankMapVersion version { 0 };
    RankExperts experts;
};

enum class RankOrderKind {
    // Load the experts that are new to the rank.
    Prepare,
    // Use the prepared map from a pass on.
    Arm,
    // Do not begin a pass before an order to go.
    Hold,
    // Begin the held pass.
    Go,
    // Cancel the arming of the prepared map.
    Disarm,
};

struct RankOrder {
    RankOrderKind kind { RankOrderKind::Prepare };
    std::uint64_t fencingToken { 0 };
    std::uint64_t epoch { 0 };
    RankMapVersion version { 0 };
    std::uint64_t pass { 0 };
    // For Prepare only. All ranks get the same map.
    std::shared_ptr<const GroupMap> map;
};

enum class RankOrderResult {
    Accepted,
    // The order does not fit the state of the engine.
    Refused,
    // A higher fencing token has been used.
    Fenced,
    // No response. The order may have been executed, or may be executed seconds later.
    Unknown,
    // The agent does not have the map to which the differences refer. The engine did not get the order.
    BaseMissing,
};

// The experts of one rank in one set, where they differ between two maps.
struct MapDifference {
    std::uint32_t set { 0 };
    std::uint32_t rank { 0 };
    std::vector<std::uint32_t> experts;
};

// Returns the differences from the base to the map. Both must have the same number of sets and ranks.
std::vector<MapDifference> differences(const GroupMap& base, const GroupMap& map);

// Returns the base with the differences applied, or std::nullopt if a set or rank is out of range.
std::optional<GroupMap> applyDifferences(const GroupMap& base, const std::vector<MapDifference>& differences);

}
