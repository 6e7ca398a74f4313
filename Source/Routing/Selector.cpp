#include "Routing/Selector.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

bool contains(const std::vector<std::string>& values, std::string_view value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

bool servesCall(const BackendServer& server, const SelectionRequest& request)
{
    if (server.kind != request.kind || server.serves != request.serves)
        return false;
    if (!request.version.empty() && !contains(server.traits.versions, request.version))
        return false;
    return request.role == EngineRole::Any || server.traits.role == EngineRole::Any || server.traits.role == request.role;
}

bool wasTried(const BackendServer& server, const SelectionRequest& request)
{
    return std::find(request.tried.begin(), request.tried.end(), server.name) != request.tried.end();
}

Eligibility collect(const BackendServerTable& table, const SelectionRequest& request, bool areSuspectedAllowed)
{
    Eligibility eligibility;
    for (const auto& [name, server] : table.servers()) {
        bool isAvailable = server.isConnected && !server.isDraining && (areSuspectedAllowed || !server.isSuspected);
        if (!isAvailable || !servesCall(server, request) || wasTried(server, request))
            continue;
        ++eligibility.count;
        if (server.ticketsHeld > 0)
            eligibility.withTicket.push_back(&server);
    }
    return eligibility;
}

}

Eligibility eligibleServers(const BackendServerTable& table, const SelectionRequest& request)
{
    Eligibility eligibility = collect(table, request, false);
    if (eligibility.count > 0)
        return eligibility;
    return collect(table, request, true);
}

}
