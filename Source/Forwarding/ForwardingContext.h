#pragma once

#include "Core/Clock.h"
#include "Fleet/FleetView.h"
#include "Forwarding/CallerAgeEstimator.h"
#include "Forwarding/CrashDetector.h"
#include "Forwarding/ForwardingSettings.h"
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
    std::function<std::optional<StreamWait>(const ServerSelectionRequest&, const StreamWaitLimits&, std::uint64_t number)> streamWait {};
};

}
