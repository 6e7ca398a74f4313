#pragma once

#include "Transport/EventLoop.h"

#include <chrono>
#include <functional>
#include <memory>

namespace Damaskgrade {

// Runs the loop until the condition holds, for at most 20 seconds. Returns whether it holds.
inline bool runLoopUntil(EventLoop& loop, const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds testTimeout { 20 };
    constexpr std::chrono::milliseconds checkPeriod { 3 };
    bool holds = false;
    std::unique_ptr<Timer> limit = loop.after(testTimeout, [&loop] { loop.stop(); });
    std::unique_ptr<Timer> check = loop.every(checkPeriod, [&] {
        holds = condition();
        if (holds)
            loop.stop();
    });
    loop.restart();
    loop.run();
    return holds;
}

}
