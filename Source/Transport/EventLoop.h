#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Damaskgrade {

// Cancels its timer when it is destroyed.
class Timer {
public:
    virtual ~Timer() = default;
};

// The single event loop thread of a process. All handlers run on it.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs handlers until stop() is called.
    void run();

    void stop();

    // Lets run() be called again after stop().
    void restart();

    // Runs the task once, after the handlers that already wait.
    void post(std::function<void()> task);

    // Runs the task once after the delay, unless the returned timer is destroyed before.
    std::unique_ptr<Timer> after(std::chrono::milliseconds delay, std::function<void()> task);

    // Runs the task each period, unless the returned timer is destroyed.
    std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> task);

    // Runs the task at each SIGTERM or SIGINT.
    void onTermination(std::function<void()> task);

    // Runs the task at each SIGHUP.
    void onReload(std::function<void()> task);

    boost::asio::io_context& context();

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
