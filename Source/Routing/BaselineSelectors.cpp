#include "Routing/BaselineSelectors.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

Selection noSelection(const Eligibility& eligibility)
{
    Selection selection;
    selection.code = eligibility.count == 0 ? ResultCode::NoBackendServer : ResultCode::Overloaded;
    return selection;
}

Selection selected(const BackendServer& server)
{
    Selection selection;
    selection.code = ResultCode::Ok;
    selection.server = server.name;
    return selection;
}

std::size_t reportedCalls(const BackendServer& server)
{
    return server.hasLoad ? std::size_t { server.load.running } + server.load.queued : 0;
}

}

RoundRobinSelector::RoundRobinSelector(const BackendServerTable& table)
    : table_(table)
{
}

Selection RoundRobinSelector::select(const SelectionRequest& request)
{
    Eligibility eligibility = eligibleServers(table_, request);
    if (eligibility.withTicket.empty())
        return noSelection(eligibility);
    const BackendServer* next = eligibility.withTicket.front();
    for (const BackendServer* server : eligibility.withTicket) {
        if (server->name > last_) {
            next = server;
            break;
        }
    }
    last_ = next->name;
    return selected(*next);
}

LeastReportedSelector::LeastReportedSelector(const BackendServerTable& table)
    : table_(table)
{
}

Selection LeastReportedSelector::select(const SelectionRequest& request)
{
    Eligibility eligibility = eligibleServers(table_, request);
    if (eligibility.withTicket.empty())
        return noSelection(eligibility);
    const BackendServer* least = *std::min_element(eligibility.withTicket.begin(), eligibility.withTicket.end(),
        [](const BackendServer* left, const BackendServer* right) {
            return reportedCalls(*left) < reportedCalls(*right);
        });
    return selected(*least);
}

TwoChoicesSelector::TwoChoicesSelector(const BackendServerTable& table, Random& random)
    : table_(table)
    , random_(random)
{
}

Selection TwoChoicesSelector::select(const SelectionRequest& request)
{
    Eligibility eligibility = eligibleServers(table_, request);
    if (eligibility.withTicket.empty())
        return noSelection(eligibility);
    const BackendServer* first = eligibility.withTicket[random_.index(eligibility.withTicket.size())];
    const BackendServer* second = eligibility.withTicket[random_.index(eligibility.withTicket.size())];
    std::size_t firstCalls = reportedCalls(*first) + first->callsInFlight.size();
    std::size_t secondCalls = reportedCalls(*second) + second->callsInFlight.size();
    return selected(secondCalls < firstCalls ? *second : *first);
}

}
