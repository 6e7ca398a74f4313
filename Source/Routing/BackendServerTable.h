#pragma once

#include "Routing/BackendServer.h"

#include <map>
#include <string_view>

namespace Damaskgrade {

// Holds the last known state of each backend server that has connected to this entry or whose traits were set, until
// the server is removed. A disconnected server is kept. Updated by events from links, calls and the membership.
class BackendServerTable {
public:
    explicit BackendServerTable(const Clock& clock);

    // Handles the hello message of an agent. A new incarnation starts without tickets and calls.
    void connected(const HelloMessage& hello);
    void disconnected(std::string_view name);
    void remove(std::string_view name);
    void setTraits(std::string_view name, BackendServerTraits traits);

    // Records load, drain state and newly issued tickets. Cache events are handled by PrefixCacheIndex.
    void ticketsReceived(std::string_view name, const TicketsMessage& message);
    // Corrects the count after tickets were revoked or refused.
    void setTicketsHeld(std::string_view name, std::size_t count);
    void setDraining(std::string_view name, bool isDraining);
    void setSuspected(std::string_view name, bool isSuspected);

    // Uses one ticket and records the call as in flight.
    void callStarted(std::string_view name, const std::string& callId);
    // Called when a part of a response arrives.
    void callProgressed(std::string_view name);
    // Called when the call has completed, was refused or was abandoned.
    void callEnded(std::string_view name, const std::string& callId);

    // Returns null if the name is unknown.
    const BackendServer* find(std::string_view name) const;
    // Ordered by name, so that decisions are reproducible for a given random seed.
    const std::map<std::string, BackendServer, std::less<>>& servers() const { return servers_; }
    // Returns the number of unspent tickets for all connected backend servers of a model or service that are not
    // draining.
    std::size_t ticketsHeld(std::string_view serves) const;
    TimePoint now() const { return clock_.now(); }

private:
    BackendServer* findMutable(std::string_view name);

    const Clock& clock_;
    std::map<std::string, BackendServer, std::less<>> servers_;
};

// Returns the number of calls of peer entries in the last load report.
std::size_t callsFromPeerEntries(const BackendServer& server);

// Returns the number of calls that a server is expected to have now: the calls in its last load report, plus calls
// that this entry started since, minus calls of this entry that ended since. Never less than the number of calls of
// this entry in flight.
std::size_t expectedCalls(const BackendServer& server);

}
