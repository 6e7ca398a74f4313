#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace Damaskgrade {

// Determines the order in which requests in the wait queue are sent.
struct WaitQueueKey {
    // Lower values are sent first.
    std::int32_t priority { 0 };
    // The response can no longer begin within the target latency of the route.
    bool isLate { false };
    std::uint32_t sends { 0 };
    TimePoint arrivedAt;
};

// Returns whether the left request is sent before the right one. A lower priority value is sent first. Among equal
// priorities, requests that can still meet their target latency precede late ones, newest first: in order of
// arrival, an overload would make all of them late. Late requests are sent in order of arrival.
bool isServedBefore(const WaitQueueKey& left, const WaitQueueKey& right);

}
