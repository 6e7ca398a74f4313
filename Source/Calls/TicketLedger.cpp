#include "Calls/TicketLedger.h"

#include <utility>

namespace Damaskgrade {

TicketLedger::TicketLedger(std::string agent, std::string incarnation)
    : agent_(std::move(agent))
    , incarnation_(std::move(incarnation))
{
}

std::uint64_t TicketLedger::openSession()
{
    ++lastSession_;
    sessions_.emplace(lastSession_, Session());
    return lastSession_;
}

void TicketLedger::closeSession(std::uint64_t session)
{
    auto found = sessions_.find(session);
    if (found == sessions_.end())
        return;
    found->second.isOpen = false;
    found->second.unspent.clear();
}

TicketRange TicketLedger::issue(std::uint64_t session, std::uint64_t count)
{
    auto found = sessions_.find(session);
    if (isDraining_ || found == sessions_.end() || !found->second.isOpen)
        return {};
    TicketRange range { found->second.nextSequence, count };
    found->second.nextSequence += count;
    found->second.unspent.add(range.first, range.count);
    return range;
}

ResultCode TicketLedger::spend(const Ticket& ticket)
{
    if (!isLocalTicket(ticket))
        return ResultCode::TicketInvalid;
    auto found = sessions_.find(ticket.session);
    if (found == sessions_.end())
        return ResultCode::TicketInvalid;
    if (!found->second.unspent.remove(ticket.sequence))
        return isDraining_ ? ResultCode::InstanceDraining : ResultCode::TicketInvalid;
    found->second.spent.add(ticket.sequence, 1);
    return ResultCode::Ok;
}

TicketState TicketLedger::resolve(const Ticket& ticket)
{
    if (!isLocalTicket(ticket))
        return TicketState::NotIssued;
    auto found = sessions_.find(ticket.session);
    if (found == sessions_.end() || !ticket.sequence || ticket.sequence >= found->second.nextSequence)
        return TicketState::NotIssued;
    found->second.unspent.remove(ticket.sequence);
    return found->second.spent.contains(ticket.sequence) ? TicketState::Spent : TicketState::Revoked;
}

std::uint64_t TicketLedger::reclaim(std::uint64_t session, std::uint64_t limit)
{
    auto found = sessions_.find(session);
    if (found == sessions_.end())
        return 0;
    std::uint64_t revoked = 0;
    for (; found->second.unspent.size() > limit; ++revoked)
        found->second.unspent.removeLast();
    return revoked;
}

void TicketLedger::drain()
{
    isDraining_ = true;
    for (auto& entry : sessions_)
        entry.second.unspent.clear();
}

bool TicketLedger::isOpen(std::uint64_t session) const
{
    auto found = sessions_.find(session);
    return found != sessions_.end() && found->second.isOpen;
}

std::uint64_t TicketLedger::unspent(std::uint64_t session) const
{
    auto found = sessions_.find(session);
    return found == sessions_.end() ? 0 : found->second.unspent.size();
}

std::uint64_t TicketLedger::spentCount(std::uint64_t session) const
{
    auto found = sessions_.find(session);
    return found == sessions_.end() ? 0 : found->second.spent.size();
}

std::size_t TicketLedger::rangeCount() const
{
    std::size_t count = 0;
    for (const auto& entry : sessions_)
        count += entry.second.unspent.rangeCount() + entry.second.spent.rangeCount();
    return count;
}

bool TicketLedger::isLocalTicket(const Ticket& ticket) const
{
    return ticket.agent == agent_ && ticket.incarnation == incarnation_;
}

}
