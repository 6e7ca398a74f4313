#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace Damaskgrade {

// The control command: prints from the logs of rank agents what the control of their groups did in a time.
class ControlCommand {
public:
    ControlCommand(CLI::App& app, int& exitCode);

private:
    void run();

    int& exitCode_;
    std::string group_;
    std::int64_t from_ { 0 };
    std::int64_t until_ { std::numeric_limits<std::int64_t>::max() };
    std::vector<std::string> logs_;
};

}
