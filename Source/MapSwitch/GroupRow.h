#pragma once

#include "MapSwitch/MapMessages.h"
#include "Platform/Table.h"

namespace Damaskgrade {

// The state of a model group, as stored in the table.
struct GroupRow {
    // The name of the entry that holds the group's lease.
    std::string holder;
    // Incremented at each renewal, so that other entries detect a live holder without comparing clocks.
    std::uint64_t renewals { 0 };
    // Identifies the last write, so that its writer recognizes it after a lost acknowledgement.
    std::string writeId;
    // The highest epoch used so far. Its token is the fencing token of the lease.
    Epoch lastEpoch;
    // The highest map version assigned so far.
    MapVersion lastVersion { noMap };
    MapVersion inForce { noMap };
    // The target version of a change whose outcome is not recorded yet, or noMap.
    MapVersion target { noMap };
};

std::string groupRowKey(const std::string& group);
std::string groupMapKey(const std::string& group, MapVersion version);

std::string encodeGroupRow(const GroupRow& row);
// Throws Error(BadFrame) if the text is not a valid row.
GroupRow decodeGroupRow(const std::string& text);

}
