#pragma once

#include "Core/Clock.h"
#include "Fleet/FleetView.h"
#include "Forwarding/CallerAgeEstimator.h"
#include "Forwarding/HeaderNames.h"
#include "Forwarding/InFlightTracker.h"
#include "Forwarding/ResponseTimes.h"
#include "Forwarding/ServerSelector.h"
#include "Forwarding/ServiceRetryBudget.h"
#include "Forwarding/UpstreamPool.h"
#include "Logging/DecisionLog.h"
#include "Routing/OutlierDetector.h"

#include <cstdint>

namespace Damaskgrade {

struct ForwardingSettings {
    // Longest time that a stream waits for a free server before it is refused. Callers leave a stream without a
    // first event after two seconds.
    std::chrono::milliseconds maxStreamWait { 240 };
    // The same once its first event can't be in time.
    std::chrono::milliseconds maxLateWait { 50 };
    // Longest time that another request waits, as a share of the time that its caller waits.
    double maxWait { 0.4 };
    // The expected response time counts for no more than this share of the target latency, so that a request
    // that has just arrived counts as one that can be on time.
    double maxExpectedShare { 0.75 };
    // Longest time that a request waits for a service that is out of order. Callers leave a stream without
    // a first event after two seconds, and come back once only.
    std::chrono::milliseconds maxOutageWait { 1700 };
    // When a refused caller is to come back.
    std::chrono::milliseconds retryAfter { 700 };
    // An idempotent request is given to another server after this time without an answer; several times
    // the usual service time of the applications.
    std::chrono::milliseconds unaryResponseTimeout { 350 };
    // A stream moves to another server after this time without an event while other servers answer.
    std::chrono::milliseconds streamStallTimeout { 900 };
    // A server that refused a request gets no other for this time.
    std::chrono::milliseconds refusalBackoff { 150 };
    // The same after the address was found to belong to another server, until the registry drops the entry.
    std::chrono::milliseconds misdirectedBackoff { 2000 };
    // The same after a connection was refused.
    std::chrono::milliseconds unreachableBackoff { 400 };
    // Sends beyond the permitted executions of a route after proven refusals. Each draws on the retry allowance.
    std::uint32_t maxRefusals { 8 };
    // Servers to which one request may fail to connect.
    std::uint32_t maxFailedConnections { 4 };
    // The answer to a request that is given up is sent this long before the caller's deadline.
    std::chrono::milliseconds deadlineMargin { 40 };
    // Largest buffered response.
    std::size_t maxResponseBytes { 16U << 20U };
};

struct ForwardingCounters {
    std::uint64_t requests { 0 };
    std::uint64_t succeeded { 0 };
    // Answered, but after the target latency or with a longer pause than the target.
    std::uint64_t late { 0 };
    std::uint64_t serverFailures { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t timedOut { 0 };
    std::uint64_t cutStreams { 0 };
    std::uint64_t resumedStreams { 0 };
    std::uint64_t repeatedSends { 0 };
    std::uint64_t cancelled { 0 };
    std::uint64_t events { 0 };
    std::uint64_t foreignResponses { 0 };
    std::uint64_t rejectedResponses { 0 };
};

// What all requests of an entry share.
struct ForwardingContext {
    const Clock& clock;
    const HeaderNames& names;
    InFlightTracker& loads;
    ServerSelector& selector;
    UpstreamPool& pool;
    OutlierDetector& outliers;
    ServiceRetryBudget& retryBudget;
    DecisionLog& log;
    ForwardingCounters& counters;
    ResponseTimes& responseTimes;
    CallerAgeEstimator& callerAgeEstimator;
    ForwardingSettings settings;
};

}
