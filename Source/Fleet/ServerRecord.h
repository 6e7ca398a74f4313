#pragma once

#include "Core/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Damaskgrade {

// What the registry says of one backend server.
struct ServerRecord {
    // Names one start of a server.
    std::string id;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    std::uint32_t slots { 0 };
    bool isDraining { false };
    // How much longer the server stays slow after its start.
    std::chrono::milliseconds remainingWarmUp { 0 };
    // Start of the server in milliseconds since 1970, or 0 if not stated. A restart may keep the id.
    std::int64_t startedAt { 0 };
};

inline bool operator==(const ServerRecord& left, const ServerRecord& right)
{
    return left.id == right.id && left.service == right.service && left.address == right.address && left.availabilityZone == right.availabilityZone
        && left.slots == right.slots && left.isDraining == right.isDraining && left.startedAt == right.startedAt;
}

}
