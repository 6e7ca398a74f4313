#pragma once

#include "Core/Clock.h"

#include <chrono>

namespace Damaskgrade {

// What limits the wait of a stream for which no server has room.
struct StreamWaitLimits {
    // Time since the request arrived.
    Duration waited { 0 };
    // Time after the arrival at which the caller cancels a stream without an event.
    Duration patience { 0 };
    // Time until the request expires.
    Duration timeLeft { 0 };
};

// What a stream does for which no server has room.
struct StreamWait {
    bool mayWait { false };
    // When its caller should come back if it is refused.
    std::chrono::milliseconds retryAfter { 0 };
};

}
