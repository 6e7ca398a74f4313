#pragma once

#include "Core/Endpoint.h"
#include "Transport/LinkKeys.h"

#include <chrono>
#include <string>
#include <vector>

namespace Damaskgrade {

// Settings of a gateway process: an entry that forwards requests to backend servers itself.
struct GatewaySettings {
    std::string name;
    std::string availabilityZone;
    // Where callers send requests.
    Endpoint callers;
    // Where the readiness of this entry is asked for.
    Endpoint readiness;
    // Where callers ask for addresses.
    Endpoint directory;
    // Where peers connect.
    Endpoint link;
    // Where metrics are served.
    Endpoint metrics;
    // Addresses at which peers may be found before the table can be read.
    std::vector<Endpoint> seedLinks;
    LinkKeys linkKeys;
    // Path of the readiness question.
    std::string readinessPath { "/readyz" };
    // How long callers may keep an answer of the directory.
    std::chrono::milliseconds addressLifetime { 2000 };
    // A shutdown ends within this time.
    std::chrono::milliseconds shutdownGrace { 8000 };
    // Repeated sends: share of the requests, extra sends of all entries together, and their window.
    double retryBudgetRatio { 0.2 };
    double retryBudgetExtra { 60 };
    std::chrono::milliseconds retryBudgetWindow { 10000 };
};

}
