#pragma once

#include "Core/Random.h"
#include "Load/LoadOptions.h"

#include <optional>

namespace Damaskgrade {

// A call with a scheduled start time, which does not depend on the responses to other calls.
struct Arrival {
    // Scheduled start, relative to the start of the run.
    std::chrono::microseconds offset { 0 };
    std::uint64_t number { 0 };
    LoadKind kind { LoadKind::Completion };
    std::string customer;
    std::string prompt;
    std::uint64_t tokens { 0 };
};

// Generates calls as a Poisson process. The same options and seed produce the same schedule.
class ArrivalSchedule {
public:
    explicit ArrivalSchedule(const LoadOptions& options);

    // Returns the next call, or nothing once the duration or the maximum number of calls is reached.
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
