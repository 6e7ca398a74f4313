#pragma once

#include "MapSwitch/MapMessages.h"
#include "Platform/Table.h"

namespace Damaskgrade {

// The state of a model group in the table.
struct GroupRow {
    std::string holder;
    // Rises with each renewal, so that others see that the holder is alive without comparing clocks.
    std::uint64_t renewals { 0 };
    // Identifies the last write, to recognize it after a lost acknowledgement.
    std::string writeId;
    // The highest epoch that was ever used. Its token is that of the lease.
    Epoch lastEpoch;
    MapVersion lastVersion { noMap };
    MapVersion inForce { noMap };
    // The target of a change whose outcome is not recorded, or noMap.
    MapVersion target { noMap };
};

std::string groupRowKey(const std::string& group);
std::string groupMapKey(const std::string& group, MapVersion version);

std::string encodeGroupRow(const GroupRow& row);
// Throws Error(BadFrame).
GroupRow decodeGroupRow(const std::string& text);

}
