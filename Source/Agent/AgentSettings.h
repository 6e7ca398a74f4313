#pragma once

#include "Core/Endpoint.h"
#include "Transport/LinkKeys.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class EngineKind {
    Model,
    Application,
};

// Settings of an agent process, from flags and environment variables.
struct AgentSettings {
    std::string name;
    std::string availabilityZone;
    // Listen address for links from entries and from other agents of the group.
    Endpoint link;
    // Keys shared by all processes of the system. Without keys, links are not authenticated.
    LinkKeys linkKeys;
    // Listen address for metrics and health checks.
    Endpoint http;
    Endpoint engine;
    EngineKind engineKind { EngineKind::Model };
    // The name of the model or service that the engine serves.
    std::string serves;
    // The model group; empty for application engines.
    std::string group;
    // Names of all agents of the group, including this one. If empty, expert maps are not changed.
    std::vector<std::string> groupMembers;
    std::uint32_t ranks { 1 };
    Endpoint platform;
    std::chrono::milliseconds platformTimeout { 1000 };
    // Time after which a graceful shutdown logs that calls are still running. It keeps waiting for them.
    std::chrono::seconds drainLimit { 60 };
};

}
