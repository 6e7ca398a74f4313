#pragma once

#include "Core/Clock.h"

#include <cstddef>

namespace Damaskgrade {

// All periods and timeouts of the membership and of the change protocol.
struct TimeLimits {
    Duration headPollInterval { std::chrono::milliseconds(1000) };
    Duration tableTimeout { std::chrono::milliseconds(900) };
    Duration gossipPeriod { std::chrono::milliseconds(250) };
    // Maximum age of the evidence on which an entry admits new work.
    Duration contactLease { std::chrono::milliseconds(2000) };
    // How long an entry still admits work under its version although a newer one is committed. The
    // grace period starts when the entry learns of the commit, but no later than the end of its last
    // contact lease.
    Duration switchGrace { std::chrono::milliseconds(2000) };
    Duration proposeTimeout { std::chrono::milliseconds(2000) };
    Duration resendInterval { std::chrono::milliseconds(400) };
    // An instance without contact for this time is suspected. LocalHealth extends the timeout if
    // the observing process is slow.
    Duration suspicionTimeout { std::chrono::milliseconds(2000) };
    // The guarantee to users: within this time, an accepted change is in force on every entry that
    // admits work.
    Duration inForceBound { std::chrono::milliseconds(7000) };
};

// Up to this number of slots, every entry sends a request to every peer in each gossip period.
constexpr std::size_t maxFullGossipSlots = 32;

// Returns the time limits for a deployment with this number of entry slots.
TimeLimits timeLimitsForSlots(std::size_t slotCount);

// Throws Error(SettingsInvalid) with the first rule that the limits violate.
void checkTimeLimits(const TimeLimits& limits);

}
