#pragma once

#include "Core/Clock.h"

#include <cstdint>

namespace Damaskgrade {

// What decides which of the requests that wait for a server is sent first.
struct WaitQueueKey {
    std::int32_t priority { 0 };
    // Its response can't begin within the target of its route any more.
    bool isLate { false };
    std::uint32_t sends { 0 };
    TimePoint arrivedAt;
};

// Says whether the left request is sent before the right one. Requests that can be on time go before late
// ones, the newest first: in the order of arrival an overload would make all of them late. Late ones go in
// the order of arrival.
bool isServedBefore(const WaitQueueKey& left, const WaitQueueKey& right);

}
