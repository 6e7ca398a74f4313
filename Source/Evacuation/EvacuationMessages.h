#pragma once

#include "Platform/StoreGeneration.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Damaskgrade {

// A position in the history of the operator's rows.
struct EvacuationPosition {
    StoreGeneration generation { 0 };
    std::uint64_t revision { 0 };
};

inline bool operator<(const EvacuationPosition& left, const EvacuationPosition& right)
{
    return std::tie(left.generation, left.revision) < std::tie(right.generation, right.revision);
}

// The operator's row that asks for the evacuation of a zone, or its removal.
struct EvacuationRow {
    std::string zone;
    bool isRemoved { false };
};

// An answer of the store, as far as it concerns evacuations.
struct EvacuationUpdate {
    EvacuationPosition position;
    // The rows are all that there are, and not only those that have changed since an earlier answer.
    bool isComplete { false };
    std::vector<EvacuationRow> rows;
};

// What an entry knows of the evacuations. Entries tell it to each other.
struct EvacuationKnowledge {
    // False if the entry has neither an answer of the store nor the knowledge of a peer.
    bool isKnown { false };
    // The zones below are those that are evacuated as of this position.
    EvacuationPosition position;
    std::vector<std::string> zones;
};

}
