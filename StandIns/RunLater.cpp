#include "StandIns/RunLater.h"

#include <utility>

namespace Damaskgrade {

void runLater(EventLoop& loop, std::chrono::milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = loop.after(delay, [timer, task = std::move(task)] {
        task();
        // The timer owns this task, which owns the timer.
        timer->reset();
    });
}

}
