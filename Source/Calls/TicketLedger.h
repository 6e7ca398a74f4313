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
    // No call was started with this ticket, and none ever will be.
    Revoked,
    Spent,
    // Issued by another agent or incarnation, or never issued. The state of the call is unknown.
    NotIssued,
};

// Issues the tickets of one agent incarnation and records which of them were spent or revoked, without
// approximation and for the lifetime of the agent. A closed session uses memory only for its ranges of spent
// tickets.
class TicketLedger {
public:
    TicketLedger(std::string agent, std::string incarnation);

    // Opens a session and returns its number.
    std::uint64_t openSession();

    // Closes the session and permanently revokes its unspent tickets.
    void closeSession(std::uint64_t session);

    // Issues count tickets to the session. Returns an empty range if the agent drains or the session is not open.
    TicketRange issue(std::uint64_t session, std::uint64_t count);

    // Spends the ticket and returns Ok if it is unspent. Otherwise returns TicketInvalid, or InstanceDraining if the
    // agent drains and the ticket belongs to one of its sessions.
    ResultCode spend(const Ticket& ticket);

    // Revokes the ticket if it is unspent, and returns its state.
    TicketState resolve(const Ticket& ticket);

    // Revokes unspent tickets of the session, the most recently issued first, until at most limit are left.
    // Returns the number of revoked tickets.
    std::uint64_t reclaim(std::uint64_t session, std::uint64_t limit);

    // Stops issuing tickets and revokes all unspent tickets.
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
