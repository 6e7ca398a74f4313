#pragma once

#include "Core/Endpoint.h"
#include "Transport/LinkKeys.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

// Settings of an entry process, from flags and environment variables.
struct EntrySettings {
    // The name of the entry slot, which a replacement of the instance keeps.
    std::string name;
    std::string availabilityZone;
    // Where callers and operators connect.
    Endpoint callers;
    // Where other entries connect.
    Endpoint link;
    // Keys that all processes of the system share; none leaves links unauthenticated.
    LinkKeys linkKeys;
    Endpoint platform;
    std::chrono::milliseconds platformTimeout { 1000 };
    // Names of all entry slots, this one included.
    std::vector<std::string> slots;
    // Document that becomes version 1 if the table holds none; may be empty.
    std::string initialDocument;
    // Longest time that a graceful shutdown waits for running calls.
    std::chrono::seconds drainLimit { 60 };
};

}
