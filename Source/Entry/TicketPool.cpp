#include "Entry/TicketPool.h"

namespace Damaskgrade {

void TicketPool::add(const std::string& agent, const std::string& incarnation, const TicketsMessage& message)
{
    sessions_[agent] = message.session;
    for (std::uint64_t i = 0; i < message.count; ++i)
        tickets_[agent].push_back({ agent, incarnation, message.session, message.firstSequence + i });
    if (message.isDraining)
        tickets_[agent].clear();
}

std::optional<Ticket> TicketPool::take(const std::string& agent)
{
    auto found = tickets_.find(agent);
    if (found == tickets_.end() || found->second.empty())
        return std::nullopt;
    Ticket ticket = found->second.front();
    found->second.pop_front();
    return ticket;
}

void TicketPool::giveBack(const Ticket& ticket)
{
    auto session = sessions_.find(ticket.agent);
    if (session != sessions_.end() && session->second == ticket.session)
        tickets_[ticket.agent].push_front(ticket);
}

void TicketPool::clear(const std::string& agent)
{
    tickets_.erase(agent);
    sessions_.erase(agent);
}

std::size_t TicketPool::count(const std::string& agent) const
{
    auto found = tickets_.find(agent);
    return found == tickets_.end() ? 0 : found->second.size();
}

}
