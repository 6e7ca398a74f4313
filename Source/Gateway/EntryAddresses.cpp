#include "Gateway/EntryAddresses.h"

namespace Damaskgrade {

namespace {

// A caller whose connection fails turns to another entry of the list.
constexpr std::size_t minEntriesOfZone = 2;

}

std::vector<Endpoint> selectEntriesForCaller(gsl::span<const DirectoryEntry> entries, std::string_view callerZone)
{
    std::vector<Endpoint> all;
    std::vector<Endpoint> local;
    for (const DirectoryEntry& entry : entries) {
        all.push_back(entry.callers);
        if (entry.availabilityZone == callerZone)
            local.push_back(entry.callers);
    }
    return local.size() >= minEntriesOfZone ? local : all;
}

}
