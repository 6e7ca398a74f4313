#include "Gateway/SelectionRules.h"

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

SelectionRule makeStreamCapacityRule(StreamCapacity& capacity)
{
    SelectionRule rule;
    rule.name = "streamCapacity";
    rule.assess = [&capacity](const ServerRecord& server, const ServerSelectionRequest& request) {
        ServerAssessment assessment;
        assessment.capacity = capacity.capacity(server, { request.priority, request.isLate });
        return assessment;
    };
    rule.onSend = [&capacity](const ServerRecord& server, const ServerSelectionRequest& request) { capacity.recordSend(server, { request.priority, request.isLate }); };
    return rule;
}

}
