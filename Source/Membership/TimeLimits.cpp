#include "Membership/TimeLimits.h"

#include "Core/Error.h"

#include <algorithm>
#include <string>

namespace Damaskgrade {

namespace {

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

void requireAtMost(const char* sumName, Duration sum, const char* boundName, Duration bound)
{
    if (sum <= bound)
        return;
    throw Error(ResultCode::SettingsInvalid,
        std::string(sumName) + " is " + milliseconds(sum) + "; it must be at most " + boundName + ", " + milliseconds(bound));
}

}

TimeLimits timeLimitsForSlots(std::size_t slotCount)
{
    TimeLimits limits;
    if (slotCount <= maxFullGossipSlots)
        return limits;
    // With two peers per period, news needs about six periods to reach half of 340 slots.
    limits.gossipPeriod = std::chrono::milliseconds(500);
    limits.contactLease = std::chrono::milliseconds(4000);
    limits.suspicionTimeout = std::chrono::milliseconds(6000);
    return limits;
}

void checkTimeLimits(const TimeLimits& limits)
{
    Duration shortest = std::min({ limits.headPollInterval, limits.tableTimeout, limits.gossipPeriod, limits.contactLease,
        limits.switchGrace, limits.proposeTimeout, limits.resendInterval, limits.suspicionTimeout });
    if (shortest <= Duration::zero())
        throw Error(ResultCode::SettingsInvalid, "a time limit is zero or negative; each must be above 0 ms");
    // An entry may serve an old version on evidence from just before the switch, and then for the grace period.
    requireAtMost("contactLease + switchGrace", limits.contactLease + limits.switchGrace, "inForceBound", limits.inForceBound);
    // A healthy change: collect votes, commit, and have every entry read the head row once.
    requireAtMost("proposeTimeout + 2 * tableTimeout + headPollInterval",
        limits.proposeTimeout + 2 * limits.tableTimeout + limits.headPollInterval, "inForceBound", limits.inForceBound);
    // Evidence is dated when the read is sent; the next answer must arrive before the lease ends.
    requireAtMost("headPollInterval + tableTimeout", limits.headPollInterval + limits.tableTimeout, "contactLease", limits.contactLease);
    requireAtMost("3 * gossipPeriod", 3 * limits.gossipPeriod, "contactLease", limits.contactLease);
    requireAtMost("2 * resendInterval", 2 * limits.resendInterval, "proposeTimeout", limits.proposeTimeout);
    // Entries have to see a switch among themselves before they stop admitting work.
    requireAtMost("4 * gossipPeriod", 4 * limits.gossipPeriod, "switchGrace", limits.switchGrace);
    requireAtMost("contactLease", limits.contactLease, "suspicionTimeout", limits.suspicionTimeout);
}

}
