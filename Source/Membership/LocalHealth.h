#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// Estimates how slow this process itself is, in the manner of Lifeguard: late timers and
// unanswered requests raise the score, good periods lower it. A slow process misses answers
// that did arrive and would otherwise suspect healthy peers.
class LocalHealth {
public:
    explicit LocalHealth(Duration period);

    // Reports a period: when its timer ran and how many requests of the last period were answered.
    void recordPeriod(TimePoint now, std::size_t requestsSent, std::size_t responsesReceived);

    // Returns the timeout widened by the score.
    Duration widen(Duration timeout) const { return timeout * (1 + score_); }

    int score() const { return score_; }

private:
    Duration period_;
    TimePoint lastPeriodAt_ {};
    bool hasPeriod_ { false };
    int score_ { 0 };
};

}
