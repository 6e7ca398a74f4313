#pragma once

#include "Transport/Frame.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// What a peer knows of one slot: the state that the slot had at most `age` ago.
struct SlotReport {
    // Start time of the process in seconds since 1970, so that it rises without stored state.
    std::uint32_t incarnation { 0 };
    std::chrono::milliseconds age { 0 };
    bool isDraining { false };
    // Opaque to the membership; at most maxDigestBytes.
    std::string digest;
};

constexpr std::size_t maxDigestBytes = 32;
// Ages are sent in one byte and rounded up. Each hop adds up to one unit; 25 ms keeps the
// error over seven hops at 175 ms, where 100 ms would take up a fifth of the contact lease.
constexpr std::chrono::milliseconds ageUnit { 25 };
constexpr std::chrono::milliseconds maxReportedAge { 254 * 25 };

// Asks a peer for its age vector. Only an answer to a request counts as contact, because the
// requester then knows a time before which the answer was not written, however late it arrives.
struct GossipRequest {
    static constexpr const char* type = "gossipRequest";
    std::uint32_t slotSet { 0 };
    std::uint64_t nonce { 0 };
};

// The age vector: one report per slot in slot order, none for slots without recent contact.
struct GossipMessage {
    static constexpr const char* type = "gossip";
    std::uint32_t slotSet { 0 };
    std::uint64_t nonce { 0 };
    std::vector<std::optional<SlotReport>> slots;
};

// Identifies an ordered list of slots. Peers with different lists ignore each other's gossip.
std::uint32_t slotSetHash(const std::vector<std::string>& slots);

// Each decode function throws Error(BadFrame) if the body does not fit the type.
Frame encodeMessage(const GossipRequest& message, HybridTime time);
Frame encodeMessage(const GossipMessage& message, HybridTime time);
GossipRequest decodeGossipRequest(ByteView body);
GossipMessage decodeGossip(ByteView body);

}
