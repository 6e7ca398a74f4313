#pragma once

#include "Transport/EventLoop.h"

namespace Damaskgrade {

// Runs the task once after the delay. Unlike EventLoop::after, nobody has to keep the timer.
void runLater(EventLoop& loop, std::chrono::milliseconds delay, std::function<void()> task);

}
