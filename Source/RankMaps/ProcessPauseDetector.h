#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// Notices that this process was stopped, or its machine suspended, since the last check.
class ProcessPauseDetector {
public:
    // A time between two checks that is longer than the limit is a standstill.
    ProcessPauseDetector(const Clock& clock, Duration limit);

    // Call before acting on anything that was known earlier, and several times within the limit.
    bool check();

private:
    const Clock& clock_;
    Duration limit_;
    TimePoint checkedAt_;
    // The steady time does not count a suspended machine.
    WallTime checkedAtWall_;
};

}
