#pragma once

#include "Core/Endpoint.h"

#include <gsl/span>

#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// An entry to which callers may connect.
struct DirectoryEntry {
    Endpoint callers;
    std::string availabilityZone;
};

// Returns the addresses of the entries in the zone of the caller, because bytes between zones are expensive, or of all
// entries if the zone has too few to bear the loss of one. Ready entries of a zone are never listed without another
// entry that a caller can turn to.
std::vector<Endpoint> selectEntriesForCaller(gsl::span<const DirectoryEntry> entries, std::string_view callerZone);

}
