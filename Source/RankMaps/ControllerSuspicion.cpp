#include "RankMaps/ControllerSuspicion.h"

namespace Damaskgrade {

ControllerSuspicion::ControllerSuspicion(const Clock& clock, Duration answerTimeout)
    : clock_(clock)
    , answerTimeout_(answerTimeout)
{
}

ControllerSuspicion::Step ControllerSuspicion::check(TimePoint lastHeardAt, Duration timeout, bool canAsk)
{
    TimePoint now = clock_.now();
    if (now - lastHeardAt < timeout) {
        askedAt_.reset();
        return Step::None;
    }
    if (!canAsk)
        return Step::TakeOver;
    // A question from before a pause of this process got no fair time for its answer.
    bool isAsked = askedAt_ && *askedAt_ >= lastHeardAt && now - *askedAt_ < 2 * answerTimeout_;
    if (!isAsked) {
        askedAt_ = now;
        return Step::Ask;
    }
    return now - *askedAt_ < answerTimeout_ ? Step::Wait : Step::TakeOver;
}

}
