#pragma once

#include "Calls/CallMessages.h"
#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

enum class BackendServerKind {
    Model,
    Application,
};

// The phase of a completion that a model engine serves. Any also covers application engines.
enum class EngineRole {
    Any,
    Prefill,
    Decode,
};

// What the configuration or an order says about a backend server beyond its hello message.
struct BackendServerTraits {
    std::vector<std::string> versions;
    std::vector<std::string> adapters;
    EngineRole role { EngineRole::Any };
};

// The start and end of an own call that ended after the last load report was taken.
struct EndedCall {
    TimePoint startedAt;
    TimePoint endedAt;
};

// What an entry knows of one backend server. BackendServerTable changes it, selectors read it.
struct BackendServer {
    std::string name;
    std::string incarnation;
    BackendServerKind kind { BackendServerKind::Model };
    // The model or service.
    std::string serves;
    std::string group;
    std::string availabilityZone;
    BackendServerTraits traits;

    bool isConnected { false };
    bool isDraining { false };
    bool isSuspected { false };

    bool hasLoad { false };
    LoadReport load;
    // When the engine took the figures of the load report.
    TimePoint loadTakenAt;
    // When the last report, answer part or result arrived.
    TimePoint lastSeen;
    TimePoint connectedAt;

    std::size_t ticketsHeld { 0 };
    // Own calls in flight by call id, with their start.
    std::unordered_map<std::string, TimePoint> callsInFlight;
    std::deque<EndedCall> endedSinceReport;
    // Moving average over own calls that ended; zero until the first one did.
    Duration meanCallTime { 0 };
};

}
