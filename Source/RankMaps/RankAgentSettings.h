#pragma once

#include "Core/Endpoint.h"
#include "Transport/LinkKeys.h"

#include <chrono>
#include <string>

namespace Damaskgrade {

// Settings of the agent beside one rank of a model group.
struct RankAgentSettings {
    std::string name;
    // The service of the engine in the catalog.
    std::string service;
    // Where other agents connect.
    Endpoint link;
    // Where metrics are served.
    Endpoint metrics;
    Endpoint engine;
    LinkKeys linkKeys;
    // How often the controller asks the agents while no change is under way, and while one is.
    std::chrono::milliseconds pollPeriod { 250 };
    std::chrono::milliseconds changePollPeriod { 60 };
    // How often it asks for counts; two samples in the time in which demand is estimated.
    std::chrono::milliseconds countPollPeriod { 250 };
    // Agents that are asked for counts in a period; a few kilobytes each, over the link of one small machine.
    std::size_t maxCountRequestsPerPeriod { 24 };
    // An agent that has heard of no controller for this long, and a part of the second by its rank, takes over.
    std::chrono::milliseconds controllerTimeout { 800 };
    std::chrono::milliseconds controllerTimeoutPerRank { 60 };
    // When the rows of the other agents are first read; all agents of a deployment have started by then.
    std::chrono::milliseconds firstAgentScanDelay { 3000 };
    // An agent that does not answer for this long is passed over, and its engine is ordered from afar.
    std::chrono::milliseconds agentTimeout { 500 };
};

}
