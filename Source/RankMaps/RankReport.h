#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// Versions of expert maps of a group; 0 is the map that a group starts with.
using RankMapVersion = std::uint64_t;

struct ArmedMap {
    RankMapVersion version { 0 };
    // The pass that begins with the map.
    std::uint64_t pass { 0 };
};

inline bool operator==(const ArmedMap& left, const ArmedMap& right)
{
    return left.version == right.version && left.pass == right.pass;
}

// What the engine of one rank says of itself.
struct RankReport {
    std::string group;
    std::uint32_t rank { 0 };
    std::uint32_t groupSize { 0 };
    // Rises each time the group forms anew; a new epoch starts with map 0 and nothing prepared, armed or held.
    std::uint64_t epoch { 0 };
    bool isOpen { false };
    // The last pass that was begun.
    std::uint64_t pass { 0 };
    RankMapVersion mapVersion { 0 };
    std::optional<RankMapVersion> prepared;
    std::optional<ArmedMap> armed;
    // The group does not begin this pass before it is told to go on.
    std::optional<std::uint64_t> heldPass;
    // The agent of the rank has passed on no order to arm it for a later pass than this one. Absent if the agent
    // can't tell, because it started too short a time ago or did not make the report.
    std::optional<std::uint64_t> highestArmOrderPass;
    // Above 1 if the engine is slow.
    double pace { 1 };
    std::uint32_t running { 0 };
};

// Experts of one rank, by set of layers.
using RankExperts = std::vector<std::vector<std::uint32_t>>;

// A whole map: by set and rank, the experts that the rank holds.
using GroupMap = std::vector<std::vector<std::vector<std::uint32_t>>>;

// How often the requests of a rank chose each expert, by set.
struct ExpertCounts {
    std::uint64_t epoch { 0 };
    std::vector<double> counts;
};

struct RankLists {
    RankMapVersion version { 0 };
    RankExperts experts;
};

enum class RankOrderKind {
    // Load the experts that are new to the rank.
    Prepare,
    // Use the prepared map from a pass on.
    Arm,
    // Do not begin a pass until told to.
    Hold,
    // Begin the held pass.
    Go,
    // Do not use the prepared map after all.
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
    // No answer: the order may have been carried out, or may be seconds later.
    Unknown,
    // The agent does not know the map that the order names the differences to. The engine was not asked.
    BaseMissing,
};

// The experts of one rank in one set, where they differ between two maps.
struct MapDifference {
    std::uint32_t set { 0 };
    std::uint32_t rank { 0 };
    std::vector<std::uint32_t> experts;
};

// Returns what changes from the base to the map. Both have the same sets and ranks.
std::vector<MapDifference> differences(const GroupMap& base, const GroupMap& map);

// Returns the base with the differences applied, or nothing if they don't fit its size.
std::optional<GroupMap> applyDifferences(const GroupMap& base, const std::vector<MapDifference>& differences);

}
