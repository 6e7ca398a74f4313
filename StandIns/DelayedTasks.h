#pragma once

#include "Transport/EventLoop.h"

#include <cstdint>
#include <map>

namespace Damaskgrade {

// Runs tasks on the event loop after a delay. The destructor cancels all pending tasks.
class DelayedTasks {
public:
    explicit DelayedTasks(EventLoop& loop);

    void run(std::chrono::milliseconds delay, std::function<void()> task);

private:
    EventLoop& loop_;
    std::uint64_t lastTask_ { 0 };
    std::map<std::uint64_t, std::unique_ptr<Timer>> timers_;
};

}
