#pragma once

#include "Core/Endpoint.h"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

// The timeline command: prints the events of all processes in causal order.
class TimelineCommand {
public:
    explicit TimelineCommand(CLI::App& app);

private:
    void run();

    Endpoint platform_;
    std::vector<std::string> processes_;
    std::int64_t minutes_ { 60 };
    bool asJson_ { false };
};

}
