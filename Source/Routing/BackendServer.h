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

// Properties of a backend server that are not part of its hello message.
struct BackendServerTraits {
    std::vector<std::string> versions;
    std::vector<std::string> adapters;
    EngineRole role { EngineRole::Any };
};

// Start and end of a call of this entry that ended after the last load report was taken.
struct EndedCall {
    TimePoint startedAt;
    TimePoint endedAt;
};

// The last known state of one backend server. BackendServerTable updates it, selectors read it.
struct BackendServer {
    std::string name;
    std::string incarnation;
    BackendServerKind kind { BackendServerKind::Model };
    // The model or service that the server serves.
    std::string serves;
    std::string group;
    std::string availabilityZone;
    BackendServerTraits traits;

    bool isConnected { false };
    bool isDraining { false };
    bool isSuspected { false };

    bool hasLoad { false };
    LoadReport load;
    // When the engine measured the values of the load report.
    TimePoint loadTakenAt;
    // When the last load report, response part or result arrived.
    TimePoint lastSeen;
    TimePoint connectedAt;

    std::size_t ticketsHeld { 0 };
    // Start time of each call of this entry that is in flight, by call id.
    std::unordered_map<std::string, TimePoint> callsInFlight;
    std::deque<EndedCall> endedSinceReport;
    // Moving average over the ended calls of this entry, including refused and abandoned ones; zero until the first call
    // ends.
    Duration meanCallTime { 0 };
};

}
