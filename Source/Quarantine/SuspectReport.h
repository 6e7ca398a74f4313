#pragma once

#include "Quarantine/PromptPart.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Damaskgrade {

// What one entry tells another of a prompt part that is or was suspected. Times are ages, since the clocks of the entries
// differ.
struct SuspectReport {
    PromptPart part { 0 };
    // Crashes since the last response to a prompt with this part.
    std::uint32_t crashes { 0 };
    // The part was seen in an answered prompt at some time.
    bool wasSound { false };
    std::chrono::milliseconds lastCrashAge { 0 };
    // How long ago the suspicion ended after the last crash.
    std::optional<std::chrono::milliseconds> clearedAge;
    // The entry that may send the next probe. Empty if there is none.
    std::string probeEntry;
    std::chrono::milliseconds claimAge { 0 };
};

}
