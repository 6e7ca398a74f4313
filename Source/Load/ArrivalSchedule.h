#pragma once

#include "Core/Random.h"
#include "Load/LoadOptions.h"

#include <optional>

namespace Damaskgrade {

// One call that is to start at a fixed time, however slow the answers to others are.
struct Arrival {
    // From the start of the run.
    std::chrono::microseconds offset { 0 };
    std::uint64_t number { 0 };
    LoadKind kind { LoadKind::Completion };
    std::string customer;
    std::string prompt;
    std::uint64_t tokens { 0 };
};

// A Poisson process of calls. Equal options with equal seeds give equal schedules.
class ArrivalSchedule {
public:
    explicit ArrivalSchedule(const LoadOptions& options);

    // Returns the next call, or nothing after the bound of time or count.
    std::optional<Arrival> next();

private:
    LoadKind drawKind();
    const std::string& drawCustomer();
    std::string drawPrompt(std::uint64_t number);

    const LoadOptions& options_;
    Random random_;
    std::chrono::microseconds offset_ { 0 };
    std::uint64_t count_ { 0 };
};

}
