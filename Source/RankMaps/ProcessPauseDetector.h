#pragma once

#include "Core/Clock.h"

namespace Damaskgrade {

// Detects that this process was paused, or its machine suspended, since the last check.
class ProcessPauseDetector {
public:
    // A longer time than the limit between two checks counts as a process pause.
    ProcessPauseDetector(const Clock& clock, Duration limit);

    // Returns whether there was a pause since the last call. Call it before using state that was stored earlier, and
    // several times within the limit.
    bool check();

private:
    const Clock& clock_;
    Duration limit_;
    TimePoint checkedAt_;
    // The steady clock does not advance while the machine is suspended.
    WallTime checkedAtWall_;
};

}
