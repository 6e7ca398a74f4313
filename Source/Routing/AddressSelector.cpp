#include "Routing/AddressSelector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Damaskgrade {

namespace {

struct RankedAddress {
    const EntryAddress* entry { nullptr };
    bool isHighlyLoaded { false };
    Duration latency { 0 };
    double sampleKey { 0 };
};

std::vector<const EntryAddress*> usableEntries(gsl::span<const EntryAddress> entries, bool areSuspectedAllowed)
{
    std::vector<const EntryAddress*> usable;
    for (const EntryAddress& entry : entries) {
        if (!entry.isDraining && (areSuspectedAllowed || !entry.isSuspected))
            usable.push_back(&entry);
    }
    return usable;
}

bool isKnownZone(std::string_view zone, const std::vector<const EntryAddress*>& entries)
{
    return std::any_of(entries.begin(), entries.end(), [zone](const EntryAddress* entry) {
        return entry->availabilityZone == zone;
    });
}

// Returns a key for weighted random sampling: in ascending order of the keys, each entry comes first with a
// probability proportional to its free capacity.
double weightedSampleKey(Random& random, double load)
{
    constexpr double minimumWeight = 0.05;
    double weight = std::max(minimumWeight, 1 - load);
    return -std::log(1 - random.fraction()) / weight;
}

}

AddressSelector::AddressSelector(const ZoneLatencies& latencies, Random& random, AddressSettings settings)
    : latencies_(latencies)
    , random_(random)
    , settings_(settings)
{
}

std::vector<Endpoint> AddressSelector::select(std::string_view callerZone, gsl::span<const EntryAddress> entries)
{
    std::vector<const EntryAddress*> usable = usableEntries(entries, false);
    if (usable.empty())
        usable = usableEntries(entries, true);
    bool isZoneKnown = isKnownZone(callerZone, usable);
    std::vector<RankedAddress> ranked;
    ranked.reserve(usable.size());
    for (const EntryAddress* entry : usable) {
        Duration latency = isZoneKnown ? latencies_.between(callerZone, entry->availabilityZone) : Duration::zero();
        ranked.push_back({ entry, entry->load > settings_.highLoad, latency, weightedSampleKey(random_, entry->load) });
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedAddress& left, const RankedAddress& right) {
        return std::tie(left.isHighlyLoaded, left.latency, left.sampleKey) < std::tie(right.isHighlyLoaded, right.latency, right.sampleKey);
    });
    std::vector<Endpoint> addresses;
    addresses.reserve(ranked.size());
    for (const RankedAddress& address : ranked)
        addresses.push_back(address.entry->callers);
    return addresses;
}

}
