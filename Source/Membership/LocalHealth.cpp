#include "Membership/LocalHealth.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

// Lifeguard's bound; it limits how long a failed peer can go unsuspected.
constexpr int maxScore = 8;

}

LocalHealth::LocalHealth(Duration period)
    : period_(period)
{
}

void LocalHealth::reportPeriod(TimePoint now, std::size_t asked, std::size_t answered)
{
    bool isLate = hasPeriod_ && now - lastPeriod_ > 2 * period_;
    bool isUnanswered = 2 * answered < asked;
    score_ = std::clamp(isLate || isUnanswered ? score_ + 1 : score_ - 1, 0, maxScore);
    lastPeriod_ = now;
    hasPeriod_ = true;
}

}
