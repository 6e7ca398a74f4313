#pragma once

#include "Core/Endpoint.h"
#include "Fleet/FleetView.h"
#include "Forwarding/InFlightTracker.h"
#include "Transport/Frame.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Damaskgrade {

// What an entry tells its peers of itself several times a second.
struct EntryStateMessage {
    static constexpr const char* type = "entryState";
    std::string name;
    // Start time of the process in milliseconds since 1970.
    std::uint64_t incarnation { 0 };
    // Where peers connect.
    Endpoint link;
    // Where callers connect.
    Endpoint callers;
    std::string availabilityZone;
    bool isReady { false };
    bool isDraining { false };
    std::uint64_t catalogVersion { 0 };
    // Hash of the servers that the entry knows of, the revision of the registry and the age of that knowledge.
    std::uint64_t fleetDigest { 0 };
    std::uint64_t fleetRevision { 0 };
    std::chrono::milliseconds fleetAge { 0 };
    InFlightCounts inFlight;
};

// A catalog that the receiver does not have yet.
struct CatalogTextMessage {
    static constexpr const char* type = "catalogText";
    std::string text;
};

// The registry as the sender knows it.
struct FleetMessage {
    static constexpr const char* type = "fleet";
    FleetSnapshot snapshot;
    std::chrono::milliseconds age { 0 };
};

// Each decode function throws Error(BadFrame) if the body does not fit the type.
Frame encodeMessage(const EntryStateMessage& message, HybridTime time);
Frame encodeMessage(const CatalogTextMessage& message, HybridTime time);
Frame encodeMessage(const FleetMessage& message, HybridTime time);
EntryStateMessage decodeEntryState(ByteView body);
CatalogTextMessage decodeCatalogText(ByteView body);
FleetMessage decodeFleet(ByteView body);

// Identifies the content of a snapshot whatever its revision.
std::uint64_t fleetDigest(const FleetSnapshot& snapshot);

}
