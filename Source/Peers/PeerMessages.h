#pragma once

#include "Catalog/CatalogKnowledge.h"
#include "Core/Endpoint.h"
#include "Evacuation/EvacuationMessages.h"
#include "Fleet/FleetView.h"
#include "Forwarding/InFlightTracker.h"
#include "Forwarding/RateLimitReport.h"
#include "Quarantine/SuspectReport.h"
#include "Transport/Frame.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// The state that an entry sends to its peers several times per second.
struct EntryStateMessage {
    static constexpr const char* type = "entryState";
    std::string name;
    // Start time of the process in milliseconds since 1970.
    std::uint64_t incarnation { 0 };
    // Address for links from peers.
    Endpoint link;
    // Address for callers.
    Endpoint callers;
    std::string availabilityZone;
    bool isReady { false };
    bool isDraining { false };
    CatalogKnowledge catalog;
    // Hash of the servers in the last registry snapshot of the entry, the position of that snapshot and its age.
    std::uint64_t fleetDigest { 0 };
    FleetPosition fleetPosition;
    std::chrono::milliseconds fleetAge { 0 };
    // Servers that have stated that they leave, before the registry states it.
    std::vector<ServerStart> leavingServers;
    // Absent in most of the states that are sent to another availability zone.
    std::optional<InFlightCounts> inFlight;
    std::vector<SuspectReport> suspects;
    std::vector<RateLimitReport> rateLimits;
    EvacuationKnowledge evacuations;
};

// The text of a catalog that is newer than the receiver's.
struct CatalogTextMessage {
    static constexpr const char* type = "catalogText";
    std::string text;
};

// The last registry snapshot of the sender and its age.
struct FleetMessage {
    static constexpr const char* type = "fleet";
    FleetSnapshot snapshot;
    std::chrono::milliseconds age { 0 };
};

// The decode functions throw Error(BadFrame) if the body does not match the message type.
Frame encodeMessage(const EntryStateMessage& message, HybridTime time);
Frame encodeMessage(const CatalogTextMessage& message, HybridTime time);
Frame encodeMessage(const FleetMessage& message, HybridTime time);
EntryStateMessage decodeEntryState(ByteView body);
CatalogTextMessage decodeCatalogText(ByteView body);
FleetMessage decodeFleet(ByteView body);

// Returns a hash of the servers in a snapshot. Ignores the revision, and of remainingWarmUp all but whether the server is warm.
std::uint64_t fleetDigest(const FleetSnapshot& snapshot);

}
