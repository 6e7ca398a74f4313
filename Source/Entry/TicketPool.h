#pragma once

#include "Calls/CallMessages.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Damaskgrade {

// The unspent tickets that an entry holds, by agent.
class TicketPool {
public:
    // Adds the tickets of a message. The incarnation is that of the agent's hello.
    void add(const std::string& agent, const std::string& incarnation, const TicketsMessage& message);

    // Takes the oldest ticket of an agent, if there is one.
    std::optional<Ticket> take(const std::string& agent);

    // Puts back a ticket that no message names. Tickets of a closed link are dropped.
    void giveBack(const Ticket& ticket);

    // The link to the agent closed, which revokes its tickets.
    void clear(const std::string& agent);

    std::size_t count(const std::string& agent) const;

private:
    std::map<std::string, std::deque<Ticket>> tickets_;
    std::map<std::string, std::uint64_t> sessions_;
};

}
