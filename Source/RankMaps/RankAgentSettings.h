#pragma once

#include "Core/Endpoint.h"
#include "Transport/LinkKeys.h"

#include <chrono>
#include <string>

namespace Damaskgrade {

// Settings of the agent of one rank.
struct RankAgentSettings {
    std::string name;
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
    // How often the controller requests counts: twice within the decay time of the demand estimate.
    std::chrono::milliseconds countPollPeriod { 250 };
    // How many agents report counts in a period. Each sends a few kilobytes over the link of the controller,
    // which may run on a machine with few resources.
    std::size_t maxCountRequestsPerPeriod { 24 };
    // An agent that has received no message of a controller for this time, plus controllerTimeoutPerRank for each lower
    // rank, takes over.
    std::chrono::milliseconds controllerTimeout { 800 };
    std::chrono::milliseconds controllerTimeoutPerRank { 60 };
    // Delay before the rows of the other agents are first read; by then all agents of a deployment have started.
    std::chrono::milliseconds firstAgentScanDelay { 3000 };
    // If an agent does not respond for this time, all orders are sent directly to its engine over the network. Holds are
    // always sent so.
    std::chrono::milliseconds agentTimeout { 500 };
};

}
