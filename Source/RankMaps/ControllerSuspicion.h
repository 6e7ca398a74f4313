#pragma once

#include "Core/Clock.h"

#include <optional>

namespace Damaskgrade {

// Decides when an agent takes over the control of its group. An agent that hears nothing of the controller first asks it
// directly, because its messages may only be late, or this agent may have been paused.
class ControllerSuspicion {
public:
    enum class Step {
        // There is no reason to suspect the controller.
        None,
        // The controller has to be asked now.
        Ask,
        // The controller has been asked, and there is still time for an answer.
        Wait,
        TakeOver,
    };

    ControllerSuspicion(const Clock& clock, Duration answerTimeout);

    // Returns the next step if the controller was last heard at the given time and may be silent for the timeout. A
    // controller that can't be asked, because its address is not known, is not waited for.
    Step check(TimePoint lastHeardAt, Duration timeout, bool canAsk);

private:
    const Clock& clock_;
    Duration answerTimeout_;
    std::optional<TimePoint> askedAt_;
};

}
