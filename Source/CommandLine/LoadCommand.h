#pragma once

#include "Load/LoadOptions.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace Damaskgrade {

// The load command: sends calls at a given average rate and prints a report of their outcomes.
// Exits with 1 if a response was wrong or a stream ended silently.
class LoadCommand {
public:
    LoadCommand(CLI::App& app, int& exitCode);

private:
    void run();

    int& exitCode_;
    LoadOptions options_;
    std::vector<std::string> entries_;
    std::vector<std::string> customers_;
    std::int64_t seconds_ { 10 };
    std::int64_t deadlineMilliseconds_ { 10000 };
    bool asJson_ { false };
};

}
