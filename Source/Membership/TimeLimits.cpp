#include "Membership/TimeLimits.h"

#include "Core/Error.h"

#include <algorithm>
#include <string>

namespace Damaskgrade {

namespace {

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

void requireAtMost(const char* sumName, Duration sum, const char* boundName, Duration bound)
{
    if (sum <= bound)
        return;
    throw Error(ResultCode::SettingsInvalid,
        std::string(sumName) + " is " + formatMilliseconds(sum) + "; it must be at most " + boundName + ", " + formatMilliseconds(bound));
}

}

TimeLimits timeLimitsForSlots(std::size_t slotCount)
{
    TimeLimits limits;
    if (slotCount <= maxFullGossipSlots)
        return limits;
    // Each entry requests the state of two peers per period, so that an update needs about six periods
    // to reach half of 340 slots. The contact lease must be longer than that.
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
    // With evidence from just before the switch, an entry may serve the old version for the contact
    // lease and then for the grace period.
    requireAtMost("contactLease + switchGrace", limits.contactLease + limits.switchGrace, "inForceBound", limits.inForceBound);
    // Without faults, a change needs the time to collect votes and commit, and until every entry has
    // read the head row once.
    requireAtMost("proposeTimeout + 2 * tableTimeout + headPollInterval",
        limits.proposeTimeout + 2 * limits.tableTimeout + limits.headPollInterval, "inForceBound", limits.inForceBound);
    // Evidence carries the time at which the read was sent, so the next response must arrive before
    // the lease ends.
    requireAtMost("headPollInterval + tableTimeout", limits.headPollInterval + limits.tableTimeout, "contactLease", limits.contactLease);
    requireAtMost("3 * gossipPeriod", 3 * limits.gossipPeriod, "contactLease", limits.contactLease);
    requireAtMost("2 * resendInterval", 2 * limits.resendInterval, "proposeTimeout", limits.proposeTimeout);
    // Gossip must spread a switch between entries before the grace period ends and they stop
    // admitting work.
    requireAtMost("4 * gossipPeriod", 4 * limits.gossipPeriod, "switchGrace", limits.switchGrace);
    requireAtMost("contactLease", limits.contactLease, "suspicionTimeout", limits.suspicionTimeout);
}

}
