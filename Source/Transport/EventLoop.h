#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Damaskgrade {

// A handle to a scheduled task. Destroying it cancels the task.
class Timer {
public:
    virtual ~Timer() = default;
};

// The single-threaded event loop of a process. All handlers run on its thread.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs handlers until stop() is called.
    void run();

    void stop();

    // Prepares the loop for another call of run() after stop().
    void restart();

    // Runs the task once, after the handlers that are already queued.
    void post(std::function<void()> task);

    // Runs the task once after the delay, unless the returned timer is destroyed first.
    std::unique_ptr<Timer> after(std::chrono::milliseconds delay, std::function<void()> task);

    // Runs the task once per period until the returned timer is destroyed. Each period starts when the previous
    // run of the task has ended.
    std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> task);

    // Runs the task on each SIGTERM or SIGINT.
    void onTermination(std::function<void()> task);

    // Runs the task on each SIGHUP.
    void onReload(std::function<void()> task);

    boost::asio::io_context& context();

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
