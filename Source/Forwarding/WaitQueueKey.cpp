#include "Forwarding/WaitQueueKey.h"

namespace Damaskgrade {

bool isServedBefore(const WaitQueueKey& left, const WaitQueueKey& right)
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    if (left.isLate != right.isLate)
        return right.isLate;
    // First sends are not charged to the retry budget.
    if (left.sends != right.sends)
        return left.sends < right.sends;
    return left.isLate ? left.arrivedAt < right.arrivedAt : right.arrivedAt < left.arrivedAt;
}

}
