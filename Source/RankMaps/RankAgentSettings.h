#pragma once

#include "Core/Endpoint.h"
#include "Transport/LinkKeys.h"

#include <chrono>
#include <string>

namespace Damaskgrade {

// Settings of the agent of one rank.
struct RankAgentSettings {
    std::string name;
    std::string availabilityZone;
    // Name in the catalog of the service that the engine belongs to.
    std::string service;
    // Address on which other agents connect.
    Endpoint link;
    // Address on which metrics are served.
    Endpoint metrics;
    Endpoint engine;
    LinkKeys linkKeys;
    // How often the controller polls the agents while no change is in progress, and during a change.
    std::chrono::milliseconds pollPeriod { 250 };
    std::chrono::milliseconds changePollPeriod { 60 };
    // How often the controller requests counts: twice within the decay time of the demand estimate, or less often on a
    // slow link.
    std::chrono::milliseconds countPollPeriod { 250 };
    // Rate of the link of the machine, which is the same for all agents of a group.
    double linkBytesPerSecond { 12.5e6 };
    // Shares of the link that the controller may use while no change is in progress, for counts and for statuses, and for
    // statuses during a change.
    double countLinkShare { 0.1 };
    double statusLinkShare { 0.05 };
    double changeLinkShare { 0.4 };
    // An agent that has received no message of a controller for this time, plus controllerTimeoutPerRank for each lower
    // rank, asks the controller, and takes over if it does not answer.
    std::chrono::milliseconds controllerTimeout { 800 };
    std::chrono::milliseconds controllerTimeoutPerRank { 60 };
    // How long an agent waits for the answer: some round trips, and the time that a busy controller needs.
    std::chrono::milliseconds controllerAnswerTimeout { 300 };
    // Delay before the rows of the other agents are first read; by then all agents of a deployment have started.
    std::chrono::milliseconds firstAgentScanDelay { 3000 };
    // If an agent does not respond for this time, all orders are sent directly to its engine over the network. Holds are
    // always sent so.
    std::chrono::milliseconds agentTimeout { 500 };
};

}
