#pragma once

#include "Calls/CallMessages.h"
#include "Calls/SequenceSet.h"

#include <map>
#include <string>

namespace Damaskgrade {

struct TicketRange {
    std::uint64_t first { 0 };
    std::uint64_t count { 0 };
};

enum class TicketState {
    // The call did not start and never will under this ticket.
    Revoked,
    Spent,
    // Issued by another agent or incarnation, or never issued. Nothing is known of the call.
    NotIssued,
};

// Issues the tickets of one agent incarnation and records exactly which were spent or revoked,
// for the lifetime of the agent. A closed session costs memory only for its ranges of spent tickets.
class TicketLedger {
public:
    TicketLedger(std::string agent, std::string incarnation);

    // Returns the number of a new session.
    std::uint64_t openSession();

    // Revokes the unspent tickets of the session, for good.
    void closeSession(std::uint64_t session);

    // Returns an empty range if the agent drains or the session is closed.
    TicketRange issue(std::uint64_t session, std::uint64_t count);

    // Returns Ok once for each ticket, InstanceDraining while the agent drains, otherwise TicketInvalid.
    ResultCode spend(const Ticket& ticket);

    // Revokes the ticket if it is unspent.
    TicketState resolve(const Ticket& ticket);

    // Revokes unspent tickets of a session, the youngest first, until it holds no more than the limit.
    // Returns the number revoked.
    std::uint64_t reclaim(std::uint64_t session, std::uint64_t limit);

    // Stops issuing and revokes all unspent tickets.
    void drain();

    bool isDraining() const { return isDraining_; }
    bool isOpen(std::uint64_t session) const;
    std::uint64_t unspent(std::uint64_t session) const;
    std::uint64_t spentCount(std::uint64_t session) const;
    std::size_t rangeCount() const;

private:
    struct Session {
        bool isOpen { true };
        std::uint64_t nextSequence { 1 };
        SequenceSet unspent;
        SequenceSet spent;
    };

    bool isLocalTicket(const Ticket& ticket) const;

    std::string agent_;
    std::string incarnation_;
    bool isDraining_ { false };
    std::uint64_t lastSession_ { 0 };
    std::map<std::uint64_t, Session> sessions_;
};

}
