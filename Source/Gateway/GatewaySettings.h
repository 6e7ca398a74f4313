#pragma once

#include "Core/Endpoint.h"
#include "StreamCapacity/StreamCapacitySettings.h"
#include "Transport/LinkKeys.h"

#include <chrono>
#include <string>
#include <vector>

namespace Damaskgrade {

// Settings of a gateway process: an entry that forwards requests to backend servers itself.
struct GatewaySettings {
    std::string name;
    std::string availabilityZone;
    // Listen address for requests of callers.
    Endpoint callers;
    // Listen address for readiness checks.
    Endpoint readiness;
    // Listen address for callers' requests for entry addresses.
    Endpoint directory;
    // Listen address for links from peers.
    Endpoint link;
    // Listen address for metrics.
    Endpoint metrics;
    // Link addresses of possible peers, used before the table can be read.
    std::vector<Endpoint> seedLinks;
    LinkKeys linkKeys;
    // Path of readiness checks.
    std::string readinessPath { "/readyz" };
    // How long callers may use a list of entry addresses.
    std::chrono::milliseconds addressLifetime { 2000 };
    // An acknowledged version of the catalog must be in force within this time. Not changed at run time.
    std::chrono::milliseconds catalogApplyBound { 2000 };
    // Nothing is sent to backend servers before it is known which availability zones are evacuated.
    bool mustKnowEvacuations { false };
    // How often servers write their registry records.
    std::chrono::milliseconds registryHeartbeat { 1200 };
    // In any second, a cold server may get this many times the rate that it tolerates, plus the slack. Not changed at run time.
    double coldOverage { 1 };
    double coldSlack { 0 };
    // Servers that still hold the beginning of a prompt are preferred on routes with sticky sessions. Not changed at run time.
    bool hasPrefixAffinity { false };
    // Longest time that servers retain a prompt after its last request. Not changed at run time.
    std::chrono::milliseconds promptRetention { 0 };
    // For which services the requests in flight are bounded so that streams are on time. Not changed at run time.
    StreamCapacityMode streamCapacity { StreamCapacityMode::Off };
    // Maximum duration of a shutdown.
    std::chrono::milliseconds shutdownGrace { 8000 };
    // Retry budget: ratio of retries to requests, additional retries of all entries together, and the time window in
    // which both are counted.
    double retryBudgetRatio { 0.2 };
    double retryBudgetExtra { 60 };
    std::chrono::milliseconds retryBudgetWindow { 10000 };
};

}
