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
    // The name of the entry slot. A replacement instance uses the same name.
    std::string name;
    std::string availabilityZone;
    // Listen address for callers and operators.
    Endpoint callers;
    // Listen address for links from other entries.
    Endpoint link;
    // Keys shared by all processes of the system. Without keys, links are not authenticated.
    LinkKeys linkKeys;
    Endpoint platform;
    std::chrono::milliseconds platformTimeout { 1000 };
    // Names of all entry slots, including this one.
    std::vector<std::string> slots;
    // Path of the document that becomes version 1 if the table contains none; may be empty.
    std::string initialDocument;
    // Time after which a graceful shutdown logs that calls are still running. It keeps waiting for them.
    // Used while no configuration is in force.
    std::chrono::seconds drainLimit { 60 };
};

}
