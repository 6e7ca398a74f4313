#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Damaskgrade {

// What one entry tells another of the rate limit that a server states in its responses.
struct RateLimitReport {
    std::string serverId;
    // Counts the changes of what entries know of the server. Of two reports, the one with the higher version is newer.
    std::uint64_t version { 0 };
    // Requests per second that the server takes from all entries together; 0 if it states no limit any more.
    double perSecond { 0 };
    // Time since an entry last received a response that says so.
    std::chrono::milliseconds age { 0 };
};

}
