#pragma once

#include "Core/Clock.h"

#include <cstddef>

namespace Damaskgrade {

// All periods and timeouts of the membership and of the change protocol.
struct TimeLimits {
    Duration headPollInterval { std::chrono::milliseconds(1000) };
    Duration tableTimeout { std::chrono::milliseconds(900) };
    Duration gossipPeriod { std::chrono::milliseconds(250) };
    // How old the evidence may be on which an entry admits new work.
    Duration contactLease { std::chrono::milliseconds(2000) };
    // How long an entry still admits work under its version after it heard of a newer commit.
    Duration switchGrace { std::chrono::milliseconds(2000) };
    Duration proposeTimeout { std::chrono::milliseconds(2000) };
    Duration resendInterval { std::chrono::milliseconds(400) };
    // After this time without contact an instance is suspected; a slow observer waits longer.
    Duration suspicionTimeout { std::chrono::milliseconds(2000) };
    // The bound that users rely on: an accepted change is in force everywhere within this time.
    Duration inForceBound { std::chrono::milliseconds(7000) };
};

// Slots up to which every entry asks every other in each gossip period.
constexpr std::size_t maxFullGossipSlots = 32;

// Returns the limits for a deployment with this number of entry slots.
TimeLimits timeLimitsForSlots(std::size_t slotCount);

// Throws Error(SettingsInvalid) that names the first inequality that does not hold.
void checkTimeLimits(const TimeLimits& limits);

}
