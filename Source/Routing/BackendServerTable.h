#pragma once

#include "Routing/BackendServer.h"

#include <map>
#include <string_view>

namespace Damaskgrade {

// What an entry knows of each backend server that it is connected to.
// Takes the events of the links, the calls, the instance list and the configuration.
class BackendServerTable {
public:
    explicit BackendServerTable(const Clock& clock);

    // Takes the hello message of an agent. A new incarnation holds no tickets and no calls.
    void connected(const HelloMessage& hello);
    void disconnected(std::string_view name);
    void remove(std::string_view name);
    void setTraits(std::string_view name, BackendServerTraits traits);

    // Takes load, drain state and newly issued tickets. Cache events go to PrefixCacheIndex.
    void ticketsReceived(std::string_view name, const TicketsMessage& message);
    // Corrects the count if tickets were revoked or refused.
    void setTicketsHeld(std::string_view name, std::size_t count);
    void setDraining(std::string_view name, bool isDraining);
    void setSuspected(std::string_view name, bool isSuspected);

    // Spends one ticket and counts the call as in flight.
    void callStarted(std::string_view name, const std::string& callId);
    // A part of an answer arrived.
    void callProgressed(std::string_view name);
    // The call ended, was refused or was given up.
    void callEnded(std::string_view name, const std::string& callId);

    // Returns null if the name is not known.
    const BackendServer* find(std::string_view name) const;
    // Ordered by name, so that decisions with one seed are repeatable.
    const std::map<std::string, BackendServer, std::less<>>& servers() const { return servers_; }
    // Unspent tickets at all backend servers of a model or service that may get new work.
    std::size_t ticketsHeld(std::string_view serves) const;
    TimePoint now() const { return clock_.now(); }

private:
    BackendServer* findMutable(std::string_view name);

    const Clock& clock_;
    std::map<std::string, BackendServer, std::less<>> servers_;
};

// Returns the calls of other entries in the last report.
std::size_t callsFromPeerEntries(const BackendServer& server);

// Returns the calls that a server is expected to have now: those of its last report, plus own calls
// started since, minus own calls ended since; never below the own calls in flight.
std::size_t expectedCalls(const BackendServer& server);

}
