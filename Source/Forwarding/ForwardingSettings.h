#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

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
    // Bounds the work of choosing a server by the parts that it holds. Further parts are not considered for this.
    std::size_t maxPromptSegments { 64 };
    // Maximum size of a buffered response.
    std::size_t maxResponseBytes { 16U << 20U };
    // Bytes of the body of a refusal after which its end is not awaited.
    std::size_t maxRefusalBytes { 64U << 10U };
    // A stream is broken off if this much of it waits for a caller that does not read.
    std::size_t maxPendingBytes { 4U << 20U };
};

}
