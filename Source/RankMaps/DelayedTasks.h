#pragma once

#include "Transport/TaskScheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Damaskgrade {

// Runs tasks after delays, and owns their timers: no task runs after this object is gone.
class DelayedTasks {
public:
    explicit DelayedTasks(TaskScheduler& scheduler)
        : scheduler_(scheduler)
    {
    }

    void run(std::chrono::milliseconds delay, std::function<void()> task)
    {
        std::uint64_t id = nextId_++;
        timers_[id] = scheduler_.after(delay, [this, id, task = std::move(task)] {
            std::unique_ptr<Timer> timer = std::move(timers_[id]);
            timers_.erase(id);
            task();
        });
    }

private:
    TaskScheduler& scheduler_;
    std::uint64_t nextId_ { 0 };
    std::map<std::uint64_t, std::unique_ptr<Timer>> timers_;
};

}
