#pragma once

#include <chrono>

namespace Damaskgrade {

// What a stream does for which no server has room.
struct StreamWait {
    bool mayWait { false };
    // When its caller should come back if it is refused.
    std::chrono::milliseconds retryAfter { 0 };
};

}
