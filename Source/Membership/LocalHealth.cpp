#include "Membership/LocalHealth.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

// The maximum from Lifeguard. It limits how late a failed peer is suspected.
constexpr int maxScore = 8;

}

LocalHealth::LocalHealth(Duration period)
    : period_(period)
{
}

void LocalHealth::recordPeriod(TimePoint now, std::size_t requestsSent, std::size_t responsesReceived)
{
    bool isLate = hasPeriod_ && now - lastPeriodAt_ > 2 * period_;
    bool hasFewResponses = 2 * responsesReceived < requestsSent;
    score_ = std::clamp(isLate || hasFewResponses ? score_ + 1 : score_ - 1, 0, maxScore);
    lastPeriodAt_ = now;
    hasPeriod_ = true;
}

}
