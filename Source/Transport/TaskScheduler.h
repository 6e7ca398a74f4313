#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace Damaskgrade {

// A handle to a scheduled task. Destroying it cancels the task.
class Timer {
public:
    virtual ~Timer() = default;
};

// Runs tasks later, on one thread. Tests implement it with simulated time.
class TaskScheduler {
public:
    virtual ~TaskScheduler() = default;

    // Runs the task once, after the tasks that are already due.
    virtual void post(std::function<void()> task) = 0;

    // Runs the task once after the delay, unless the returned timer is destroyed first.
    virtual std::unique_ptr<Timer> after(std::chrono::milliseconds delay, std::function<void()> task) = 0;

    // Runs the task once per period until the returned timer is destroyed. Each period starts when the previous
    // run of the task has ended.
    virtual std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> task) = 0;
};

}
