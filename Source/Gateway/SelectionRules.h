#pragma once

#include "Evacuation/ZoneEvacuations.h"
#include "Forwarding/SelectionRule.h"
#include "StreamCapacity/StreamCapacity.h"

namespace Damaskgrade {

// Returns a rule that excludes the servers of evacuated zones. If mustBeKnown is set, it excludes all servers until the
// evacuations are known. The evacuations must outlive the rule.
SelectionRule makeEvacuationRule(const ZoneEvacuations& evacuations, bool mustBeKnown);

// Returns a rule that bounds the requests in flight at a server. The capacity must outlive the rule.
SelectionRule makeStreamCapacityRule(StreamCapacity& capacity);

}
