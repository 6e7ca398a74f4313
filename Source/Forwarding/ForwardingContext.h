#pragma once

#include "Core/Clock.h"
#include "Fleet/FleetView.h"
#include "Forwarding/CallerAgeEstimator.h"
#include "Forwarding/CrashDetector.h"
#include "Forwarding/HeaderNames.h"
#include "Forwarding/InFlightTracker.h"
#include "Forwarding/PromptSegment.h"
#include "Forwarding/ResponseBuffers.h"
#include "Forwarding/ResponseTimes.h"
#include "Forwarding/ServerRateLimits.h"
#include "Forwarding/ServerSelector.h"
#include "Forwarding/ServiceRetryBudget.h"
#include "Forwarding/StreamWait.h"
#include "Forwarding/UpstreamPool.h"
#include "Logging/DecisionLog.h"
#include "Quarantine/PromptPart.h"
#include "Quarantine/PromptQuarantine.h"
#include "Routing/OutlierDetector.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct ForwardingSettings {
    // Longest time that a stream waits for a free server before it is refused. Callers cancel a stream that
    // has no first event after two seconds.
    std::chrono::milliseconds maxStreamWait { 240 };
    // The same for a stream whose first event can no longer meet the target latency.
    std::chrono::milliseconds maxLateWait { 50 };
    // Longest time that any other request waits, as a share of the time until its deadline or timeout.
    double maxWait { 0.4 };
    // Upper bound of the expected response time, as a share of the target latency, so that a request that
    // has just arrived is treated as able to meet the target.
    double maxExpectedShare { 0.75 };
    // Longest time that a request waits for an unavailable service. Callers cancel a stream that has no first
    // event after two seconds, and retry only once.
    std::chrono::milliseconds maxOutageWait { 1700 };
    // Time after which a refused caller should retry; sent in the response.
    std::chrono::milliseconds retryAfter { 700 };
    // An idempotent request is retried at another server after this time without a response. It must be several times
    // the usual service time of the applications: if it is too short, requests that are still being executed are
    // executed again.
    std::chrono::milliseconds idempotentResponseTimeout { 350 };
    // A stream is resumed at another server after this time without an event, if other servers make progress.
    std::chrono::milliseconds streamStallTimeout { 900 };
    // No request is sent to a server for this time after it refused one.
    std::chrono::milliseconds refusalBackoff { 150 };
    // The same after the address turned out to belong to another server, until the registry removes the
    // outdated record.
    std::chrono::milliseconds misdirectedBackoff { 2000 };
    // The same after a connection was refused.
    std::chrono::milliseconds unreachableBackoff { 400 };
    // Sends beyond the maxAttempts of a route after proven refusals. Each is charged to the retry budget.
    std::uint32_t maxRefusals { 8 };
    // Failed connection attempts of one request after which it is not retried.
    std::uint32_t maxFailedConnections { 4 };
    // A longer pause that a server asks for is treated as this one, so that a wrong value does not exclude it for good.
    std::chrono::milliseconds maxServerPause { 60000 };
    // A request that cannot succeed in time is answered with an error this long before the caller's deadline.
    std::chrono::milliseconds deadlineMargin { 40 };
    // A server that crashes within this time after the first event of a response may have crashed because of its prompt.
    std::chrono::milliseconds crashExposure { 200 };
    // Bounds the work and the memory for one request. Further parts of a prompt are not considered.
    std::size_t maxPromptParts { 64 };
    // Maximum size of a buffered response.
    std::size_t maxResponseBytes { 16U << 20U };
    // Bytes of the body of a refusal after which its end is not awaited.
    std::size_t maxRefusalBytes { 64U << 10U };
    // A stream is broken off if this much of it waits for a caller that does not read.
    std::size_t maxPendingBytes { 4U << 20U };
};

struct ForwardingCounters {
    std::uint64_t requests { 0 };
    std::uint64_t succeeded { 0 };
    // Succeeded, but after the target latency or with a gap between events above the target.
    std::uint64_t late { 0 };
    std::uint64_t serverFailures { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t timedOut { 0 };
    std::uint64_t cutStreams { 0 };
    std::uint64_t resumedStreams { 0 };
    std::uint64_t repeatedSends { 0 };
    std::uint64_t cancelled { 0 };
    // Refusals in which a server has asked for a pause.
    std::uint64_t serverPauses { 0 };
    // Refused because of a prompt part that may crash servers.
    std::uint64_t quarantined { 0 };
    std::uint64_t events { 0 };
    // Responses that belonged to another request.
    std::uint64_t foreignResponses { 0 };
    // Successful responses that lacked the signature of a backend server or were re-encoded on the way.
    std::uint64_t rejectedResponses { 0 };
};

// Returns the parts that a prompt may have in common with other prompts from the value of the header with its parts.
using PromptPartsDecoder = std::function<std::vector<PromptPart>(std::string_view)>;

// State and settings that all requests of an entry share.
struct ForwardingContext {
    const Clock& clock;
    const HeaderNames& names;
    InFlightTracker& loads;
    ServerSelector& selector;
    ServerRateLimits& rateLimits;
    UpstreamPool& pool;
    ResponseBuffers& responseBuffers;
    OutlierDetector& outliers;
    ServiceRetryBudget& retryBudget;
    DecisionLog& log;
    ForwardingCounters& counters;
    ResponseTimes& responseTimes;
    CallerAgeEstimator& callerAgeEstimator;
    PromptPartsDecoder decodePromptParts;
    PromptQuarantine& quarantine;
    CrashDetector& crashDetector;
    FleetView& fleet;
    ForwardingSettings settings;
    // Called with the head of each response of a server and the time at which the request was sent. May be empty.
    std::function<void(const ServerRecord&, const HttpResponse&, TimePoint)> onResponse {};
    // Empty unless parts of prompts that a server holds are considered.
    PromptSegmentsDecoder decodePromptSegments {};
    // Called for each pause between two events that a server sent in one attempt. May be empty.
    std::function<void(const ServerRecord&, Duration)> onEventPause {};
    // Determines whether a stream that no server has begun waits on after this time. May be empty, or return std::nullopt for the
    // waits that the settings state.
    std::function<std::optional<StreamWait>(const ServerSelectionRequest&, Duration waited, std::uint64_t number)> streamWait {};
};

}
