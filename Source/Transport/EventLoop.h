#pragma once

#include "Transport/TaskScheduler.h"

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Damaskgrade {

// The single-threaded event loop of a process. All handlers run on its thread.
class EventLoop : public TaskScheduler {
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Runs handlers until stop() is called.
    void run();

    void stop();

    // Prepares the loop for another call of run() after stop().
    void restart();

    void post(std::function<void()> task) override;
    std::unique_ptr<Timer> after(std::chrono::milliseconds delay, std::function<void()> task) override;
    std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> task) override;

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
