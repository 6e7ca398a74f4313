#pragma once

#include "ColdServers/ColdServers.h"
#include "ColdServers/ColdShares.h"
#include "Evacuation/ZoneEvacuations.h"
#include "Forwarding/SelectionRule.h"
#include "StreamCapacity/StreamCapacity.h"

#include <cstdint>

namespace Damaskgrade {

// Returns a rule that excludes the servers of evacuated zones. If mustBeKnown is set, it excludes all servers until the
// evacuations are known. The evacuations must outlive the rule.
SelectionRule makeEvacuationRule(const ZoneEvacuations& evacuations, bool mustBeKnown);

struct ColdServerCounters {
    std::uint64_t sends { 0 };
    // Assessments that excluded a cold server.
    std::uint64_t exclusions { 0 };
};

// Returns a rule that excludes cold servers until the next send of this entry's share, and prefers warm servers otherwise.
// The arguments must outlive the rule.
SelectionRule makeColdServerRule(const ColdServers& servers, ColdShares& shares, ColdServerCounters& counters);

// Returns a rule that excludes cold servers for requests that were not counted as sent to a cold server, because the server was
// taken for warm when it was selected or this entry has been frozen since. The arguments must outlive the rule.
SelectionRule makeColdConnectionRule(const ColdServers& servers, const ColdShares& shares);

// Returns a rule that bounds the requests in flight at a server. The capacity must outlive the rule.
SelectionRule makeStreamCapacityRule(StreamCapacity& capacity);

}
