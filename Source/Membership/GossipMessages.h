#pragma once

#include "Transport/Frame.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// The state of one slot as known to the sender. The slot had this state at most `age` ago.
struct SlotReport {
    // Start time of the process in seconds since 1970. It increases with each restart without stored
    // state. Not the same as HelloMessage::incarnation, which is a random text.
    std::uint32_t incarnation { 0 };
    std::chrono::milliseconds age { 0 };
    bool isDraining { false };
    // Not interpreted by Membership. At most maxDigestBytes long.
    std::string digest;
};

constexpr std::size_t maxDigestBytes = 32;
// Ages are sent in one byte and rounded up to this unit. Each hop adds an error of up to one unit, 175 ms
// over seven hops. It makes evidence look older, so it must be small compared with the contact lease. A unit of
// 100 ms would use up about a fifth of the lease.
constexpr std::chrono::milliseconds ageUnit { 25 };
constexpr std::chrono::milliseconds maxReportedAge { 254 * 25 };

// Requests the age vector of a peer. Only a response to a request counts as contact: however late it
// arrives, it was written after the request was sent.
struct GossipRequest {
    static constexpr const char* type = "gossipRequest";
    std::uint32_t slotSet { 0 };
    std::uint64_t nonce { 0 };
};

// The age vector: one optional report per slot, in slot order. Slots without recent contact have no report.
struct GossipMessage {
    static constexpr const char* type = "gossip";
    std::uint32_t slotSet { 0 };
    std::uint64_t nonce { 0 };
    std::vector<std::optional<SlotReport>> slots;
};

// Returns a hash of an ordered list of slots. Peers with different lists ignore each other's gossip.
std::uint32_t slotSetHash(const std::vector<std::string>& slots);

// The decode functions throw Error(BadFrame) if the body does not match the type.
Frame encodeMessage(const GossipRequest& message, HybridTime time);
Frame encodeMessage(const GossipMessage& message, HybridTime time);
GossipRequest decodeGossipRequest(ByteView body);
GossipMessage decodeGossip(ByteView body);

}
