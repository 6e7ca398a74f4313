#include "Gateway/SelectionRules.h"

#include <algorithm>
#include <optional>

namespace Damaskgrade {

SelectionRule makeEvacuationRule(const ZoneEvacuations& evacuations, bool mustBeKnown)
{
    SelectionRule rule;
    rule.name = "evacuation";
    // The evacuation may begin while a connection is being opened.
    rule.isAppliedToOpenConnections = true;
    rule.assess = [&evacuations, mustBeKnown](const ServerRecord& server, const ServerSelectionRequest&) {
        ServerAssessment assessment;
        assessment.isExcluded = evacuations.isEvacuated(server.availabilityZone) || (mustBeKnown && !evacuations.isKnown());
        return assessment;
    };
    return rule;
}

SelectionRule makeColdServerRule(const ColdServers& servers, ColdShares& shares, ColdServerCounters& counters)
{
    // Above the cost of another zone, so that a warm server there that is no fuller is preferred.
    constexpr double coldCost = 1.5;
    SelectionRule rule;
    rule.name = "coldServers";
    rule.assess = [&servers, &shares, &counters](const ServerRecord& server, const ServerSelectionRequest&) {
        ServerAssessment assessment;
        Duration remaining = servers.remaining(server);
        if (remaining <= Duration::zero())
            return assessment;
        std::optional<Duration> wait = shares.timeUntilSend(server.id, servers.limitOf(server).requestsPerSecond);
        if (wait && *wait <= Duration::zero()) {
            assessment.cost = coldCost;
            return assessment;
        }
        ++counters.exclusions;
        assessment.isExcluded = true;
        assessment.retryAfter = std::min(remaining, wait.value_or(remaining));
        return assessment;
    };
    rule.onSend = [&servers, &shares, &counters](const ServerRecord& server, const ServerSelectionRequest&) {
        if (servers.limitOf(server).requestsPerSecond <= 0)
            return;
        bool isCold = servers.remaining(server) > Duration::zero();
        counters.sends += isCold ? 1 : 0;
        shares.recordSend(server.id, isCold);
    };
    return rule;
}

SelectionRule makeColdConnectionRule(const ColdServers& servers, const ColdShares& shares)
{
    SelectionRule rule;
    rule.name = "coldConnections";
    rule.isAppliedToOpenConnections = true;
    rule.assess = [&servers, &shares](const ServerRecord& server, const ServerSelectionRequest&) {
        ServerAssessment assessment;
        Duration remaining = servers.remaining(server);
        if (remaining <= Duration::zero() || shares.mayFinishSend(server.id))
            return assessment;
        assessment.isExcluded = true;
        assessment.retryAfter = remaining;
        return assessment;
    };
    return rule;
}

}
