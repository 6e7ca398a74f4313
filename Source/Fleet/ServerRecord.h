#pragma once

#include "Core/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
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
    // Remaining time during which the server is cold, as of the last write of the record; absent if it is not stated.
    std::optional<std::chrono::milliseconds> remainingWarmUp;
    // Start time of the server in milliseconds since 1970, or 0 if unknown. Distinguishes a restart with the same id.
    std::int64_t startedAt { 0 };
};

// Returns whether the record states that the server is warm.
inline bool isStatedWarm(const ServerRecord& server)
{
    return server.remainingWarmUp && *server.remainingWarmUp <= std::chrono::milliseconds::zero();
}

// Of remainingWarmUp, which changes with each write of the record, only whether the server is warm is compared.
inline bool operator==(const ServerRecord& left, const ServerRecord& right)
{
    return left.id == right.id && left.service == right.service && left.address == right.address && left.availabilityZone == right.availabilityZone
        && left.slots == right.slots && left.isDraining == right.isDraining && left.startedAt == right.startedAt
        && isStatedWarm(left) == isStatedWarm(right);
}

}
