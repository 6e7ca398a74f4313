#pragma once

#include "Core/Endpoint.h"
#include "Core/Random.h"
#include "Routing/ZoneLatencies.h"

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// What an entry knows of an entry instance, itself included.
struct EntryAddress {
    std::string name;
    std::string availabilityZone;
    Endpoint callers;
    bool isDraining { false };
    bool isSuspected { false };
    // Share of its capacity in use, 0 if unknown.
    double load { 0 };
};

struct AddressSettings {
    // Entries above this load are told after all others, whatever their zone.
    double highLoad { 0.9 };
};

// Selects and orders the entry addresses that a caller is told.
class AddressSelector {
public:
    AddressSelector(const ZoneLatencies& latencies, Random& random, AddressSettings settings);

    // Nearest zone first and in random order within equal latency, weighted towards lower load, so that
    // callers that use the first address spread. A zone that is empty or unknown has equal latency to all.
    // Draining entries are never told; suspected ones only if there are no others.
    std::vector<Endpoint> select(std::string_view callerZone, gsl::span<const EntryAddress> entries);

private:
    const ZoneLatencies& latencies_;
    Random& random_;
    AddressSettings settings_;
};

}
