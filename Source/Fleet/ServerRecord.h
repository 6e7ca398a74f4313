#pragma once

#include "Core/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Damaskgrade {

// Identifies one start of a backend server. A restarted server may keep its id.
struct ServerStart {
    std::string id;
    // As in the registry record.
    std::int64_t startedAt { 0 };
};

// The registry record of one backend server.
struct ServerRecord {
    // Identifies the server process. A restarted server may keep it, see startedAt.
    std::string id;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    std::uint32_t slots { 0 };
    bool isDraining { false };
    // Remaining time during which the server is slow after its start.
    std::chrono::milliseconds remainingWarmUp { 0 };
    // Start time of the server in milliseconds since 1970, or 0 if unknown. Distinguishes a restart with the same id.
    std::int64_t startedAt { 0 };
};

// Ignores remainingWarmUp, which changes without a change of the server.
inline bool operator==(const ServerRecord& left, const ServerRecord& right)
{
    return left.id == right.id && left.service == right.service && left.address == right.address && left.availabilityZone == right.availabilityZone
        && left.slots == right.slots && left.isDraining == right.isDraining && left.startedAt == right.startedAt;
}

}
