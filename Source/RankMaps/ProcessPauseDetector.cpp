#include "RankMaps/ProcessPauseDetector.h"

namespace Damaskgrade {

ProcessPauseDetector::ProcessPauseDetector(const Clock& clock, Duration limit)
    : clock_(clock)
    , limit_(limit)
    , checkedAt_(clock.now())
    , checkedAtWall_(clock.wallNow())
{
}

bool ProcessPauseDetector::check()
{
    Duration elapsed = clock_.now() - checkedAt_;
    WallTime::duration elapsedWall = clock_.wallNow() - checkedAtWall_;
    checkedAt_ = clock_.now();
    checkedAtWall_ = clock_.wallNow();
    return elapsed > limit_ || elapsedWall > limit_;
}

}
