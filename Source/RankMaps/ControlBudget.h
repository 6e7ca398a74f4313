#pragma once

#include <chrono>
#include <cstddef>

namespace Damaskgrade {

// Derives the periods of the messages of a group's control from the rate of the link of an agent's machine, so that they
// never fill it: messages that wait behind them would make a controller look dead.
class ControlBudget {
public:
    explicit ControlBudget(double linkBytesPerSecond);

    // Returns how long the link transmits this number of bytes.
    std::chrono::milliseconds transmissionTime(std::size_t bytes) const;

    // Returns the shortest period at which this number of bytes uses no more than the given share of the link.
    std::chrono::milliseconds periodOf(std::size_t bytes, double share) const;

private:
    double linkBytesPerSecond_;
};

}
