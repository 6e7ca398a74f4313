#include "Transport/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <initializer_list>
#include <utility>

namespace Damaskgrade {

namespace {

// Shared with the pending handler, which can run after the timer has been destroyed.
struct TimerState {
    TimerState(boost::asio::io_context& context, std::chrono::milliseconds delay, bool isPeriodic, std::function<void()> task)
        : timer(context)
        , delay(delay)
        , isPeriodic(isPeriodic)
        , task(std::move(task))
    {
    }

    boost::asio::steady_timer timer;
    std::chrono::milliseconds delay;
    bool isPeriodic;
    bool cancelled { false };
    std::function<void()> task;
};

void startTimer(const std::shared_ptr<TimerState>& state)
{
    state->timer.expires_after(state->delay);
    state->timer.async_wait([state](boost::system::error_code failure) {
        if (failure || state->cancelled)
            return;
        state->task();
        if (state->isPeriodic && !state->cancelled)
            startTimer(state);
    });
}

class AsioTimer : public Timer {
public:
    explicit AsioTimer(std::shared_ptr<TimerState> state)
        : state_(std::move(state))
    {
        startTimer(state_);
    }

    ~AsioTimer() override
    {
        state_->cancelled = true;
        state_->timer.cancel();
    }

private:
    std::shared_ptr<TimerState> state_;
};

}

struct EventLoop::State {
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    boost::asio::signal_set signals { context };
    std::function<void()> terminationTask;
    std::function<void()> reloadTask;
    bool isWaitingForSignal { false };

    void handleSignals(std::initializer_list<int> numbers)
    {
        for (int number : numbers)
            signals.add(number);
        if (!isWaitingForSignal)
            waitForSignal();
        isWaitingForSignal = true;
    }

    void waitForSignal()
    {
        signals.async_wait([this](boost::system::error_code failure, int number) {
            if (failure)
                return;
            const std::function<void()>& task = number == SIGHUP ? reloadTask : terminationTask;
            if (task)
                task();
            waitForSignal();
        });
    }
};

EventLoop::EventLoop()
    : state_(std::make_unique<State>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    state_->context.run();
}

void EventLoop::stop()
{
    state_->context.stop();
}

void EventLoop::restart()
{
    state_->context.restart();
}

void EventLoop::post(std::function<void()> task)
{
    boost::asio::post(state_->context, std::move(task));
}

std::unique_ptr<Timer> EventLoop::after(std::chrono::milliseconds delay, std::function<void()> task)
{
    return std::make_unique<AsioTimer>(std::make_shared<TimerState>(state_->context, delay, false, std::move(task)));
}

std::unique_ptr<Timer> EventLoop::every(std::chrono::milliseconds period, std::function<void()> task)
{
    return std::make_unique<AsioTimer>(std::make_shared<TimerState>(state_->context, period, true, std::move(task)));
}

void EventLoop::onTermination(std::function<void()> task)
{
    state_->terminationTask = std::move(task);
    state_->handleSignals({ SIGTERM, SIGINT });
}

void EventLoop::onReload(std::function<void()> task)
{
    state_->reloadTask = std::move(task);
    state_->handleSignals({ SIGHUP });
}

boost::asio::io_context& EventLoop::context()
{
    return state_->context;
}

}
