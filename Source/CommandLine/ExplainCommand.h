#pragma once

#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace Damaskgrade {

// Explains how a request ended from the logs of all processes.
class ExplainCommand {
public:
    ExplainCommand(CLI::App& app, int& exitCode);

private:
    void run();

    int& exitCode_;
    std::string requestId_;
    std::vector<std::string> logs_;
};

}
