#pragma once

#include "Platform/StoreGeneration.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Damaskgrade {

// Time of the steady clock of the catalog source, since a moment that is the same for all entries.
using SourceTime = std::chrono::milliseconds;

// What an entry knows of the catalog. Entries tell it to each other.
struct CatalogKnowledge {
    std::uint64_t version { 0 };
    // The generation that the times below belong to.
    StoreGeneration generation { 0 };
    // All versions that the source had acknowledged by then are known, from its own answers or from peers.
    std::optional<SourceTime> completeUntil;
    // When the source last answered the entry itself.
    std::optional<SourceTime> answeredAt;
};

}
