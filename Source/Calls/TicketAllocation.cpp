#include "Calls/TicketAllocation.h"

#include <algorithm>

namespace Damaskgrade {

std::vector<SessionTicketLimit> allocateTickets(std::uint64_t slots, std::uint64_t running, const std::vector<SessionDemand>& sessions)
{
    std::uint64_t used = running + sessions.size();
    std::uint64_t spare = slots > used ? slots - used : 0;
    // One call is added to the demand of each entry, so that idle entries get equal shares.
    std::uint64_t totalDemand = 0;
    for (const SessionDemand& session : sessions)
        totalDemand += session.recentCalls + 1;
    std::vector<SessionTicketLimit> ticketLimits;
    ticketLimits.reserve(sessions.size());
    for (const SessionDemand& session : sessions)
        ticketLimits.push_back({ session.session, 1 + spare * (session.recentCalls + 1) / totalDemand });
    return ticketLimits;
}

}
