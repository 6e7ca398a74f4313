#pragma once

#include <cstdint>
#include <vector>

namespace Damaskgrade {

// Demand of one connected entry, as observed by an agent.
struct SessionDemand {
    std::uint64_t session { 0 };
    std::uint64_t unspent { 0 };
    // Recently started calls of the entry, halved at each allocation.
    std::uint64_t recentCalls { 0 };
};

// Maximum number of unspent tickets of a session.
struct SessionTicketLimit {
    std::uint64_t session { 0 };
    std::uint64_t limit { 0 };
};

// Divides the free slots of an engine among the connected entries in proportion to their recent calls.
// Each entry may always hold at least one ticket, so that an idle entry can start a call without a round trip.
// Therefore the number of calls may exceed the slots by at most the number of entries.
std::vector<SessionTicketLimit> allocateTickets(std::uint64_t slots, std::uint64_t running, const std::vector<SessionDemand>& sessions);

}
