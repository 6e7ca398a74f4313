#pragma once

#include <cstdint>
#include <vector>

namespace Damaskgrade {

// What an agent knows of the demand of one connected entry.
struct SessionDemand {
    std::uint64_t session { 0 };
    std::uint64_t unspent { 0 };
    // Calls that the entry started in the last allocation window.
    std::uint64_t recentCalls { 0 };
};

// The number of unspent tickets that a session may hold.
struct SessionTicketLimit {
    std::uint64_t session { 0 };
    std::uint64_t limit { 0 };
};

// Divides the free slots of an engine among the connected entries in proportion to their recent calls.
// Each entry may hold one ticket at all times, so that an idle entry can start a call without a round trip.
// This lets the calls exceed the slots by at most the number of entries.
std::vector<SessionTicketLimit> allocateTickets(std::uint64_t slots, std::uint64_t running, const std::vector<SessionDemand>& sessions);

}
