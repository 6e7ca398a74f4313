#pragma once

#include "Core/Endpoint.h"
#include "Core/Random.h"
#include "Routing/ZoneLatencies.h"

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// The last known state of an entry instance, either a peer or the local one.
struct EntryAddress {
    std::string name;
    std::string availabilityZone;
    Endpoint callers;
    bool isDraining { false };
    bool isSuspected { false };
    // Fraction of its capacity in use, 0 if unknown.
    double load { 0 };
};

struct AddressSettings {
    // Entries above this load are listed after all others, regardless of their zone.
    double highLoad { 0.9 };
};

// Selects and orders the entry addresses that are returned to a caller.
class AddressSelector {
public:
    AddressSelector(const ZoneLatencies& latencies, Random& random, AddressSettings settings);

    // Returns the addresses ordered by latency from the caller's zone. Entries with equal latency are in random
    // order, weighted towards lower load, so that callers that use the first address spread over the entries.
    // If the caller's zone is empty or unknown, all entries have equal latency.
    // Draining entries are never returned; suspected ones only if there are no others.
    std::vector<Endpoint> select(std::string_view callerZone, gsl::span<const EntryAddress> entries);

private:
    const ZoneLatencies& latencies_;
    Random& random_;
    AddressSettings settings_;
};

}
