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
    // Where entries connect.
    Endpoint link;
    // Keys that all processes of the system share; none leaves links unauthenticated.
    LinkKeys linkKeys;
    // Where metrics and health are served.
    Endpoint http;
    Endpoint engine;
    EngineKind engineKind { EngineKind::Model };
    // The model or the service of the engine.
    std::string serves;
    // The model group; empty for application engines.
    std::string group;
    // Names of all agents of the group, this one included. Expert maps are only changed if they are given.
    std::vector<std::string> groupMembers;
    std::uint32_t ranks { 1 };
    Endpoint platform;
    std::chrono::milliseconds platformTimeout { 1000 };
    // Longest time that a graceful shutdown waits for running calls.
    std::chrono::seconds drainLimit { 60 };
};

}
