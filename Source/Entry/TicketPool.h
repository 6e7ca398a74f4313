#pragma once

#include "Calls/CallMessages.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Damaskgrade {

// The unused tickets that an entry holds, by agent.
class TicketPool {
public:
    // Adds the tickets of a message, or discards all tickets of the agent if it is draining.
    // The incarnation is the one from the agent's hello.
    void add(const std::string& agent, const std::string& incarnation, const TicketsMessage& message);

    // Removes and returns the oldest ticket of an agent, if there is one.
    std::optional<Ticket> take(const std::string& agent);

    // Puts back a ticket that was not sent in any message. Has no effect if the link of the ticket has closed.
    void giveBack(const Ticket& ticket);

    // Removes all tickets of an agent. Must be called when its link closes, which revokes them.
    void clear(const std::string& agent);

    std::size_t count(const std::string& agent) const;

private:
    std::map<std::string, std::deque<Ticket>> tickets_;
    std::map<std::string, std::uint64_t> sessions_;
};

}
