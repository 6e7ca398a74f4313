#include "StandIns/DelayedTasks.h"

#include <utility>

namespace Damaskgrade {

DelayedTasks::DelayedTasks(EventLoop& loop)
    : loop_(loop)
{
}

void DelayedTasks::run(std::chrono::milliseconds delay, std::function<void()> task)
{
    std::uint64_t number = ++lastTask_;
    timers_[number] = loop_.after(delay, [this, number, task = std::move(task)] {
        timers_.erase(number);
        task();
    });
}

}
