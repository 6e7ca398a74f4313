#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// Estimates how slow the local process is, as in Lifeguard, an extension of the SWIM membership
// protocol: late timers and requests without a response raise the score, other periods lower it.
// Without it, a slow process, which processes responses too late, would suspect healthy peers.
class LocalHealth {
public:
    explicit LocalHealth(Duration period);

    // Records a period: when its timer ran, and how many requests of the previous period were sent
    // and got a response.
    void recordPeriod(TimePoint now, std::size_t requestsSent, std::size_t responsesReceived);

    // Returns the timeout multiplied by 1 + score().
    Duration extendTimeout(Duration timeout) const { return timeout * (1 + score_); }

    // Returns 0 if the process is not slow. A higher score means a slower process.
    int score() const { return score_; }

private:
    Duration period_;
    TimePoint lastPeriodAt_ {};
    bool hasPeriod_ { false };
    int score_ { 0 };
};

}
