#pragma once

#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace Damaskgrade {

// The explain command: prints from the logs of all processes how a request ended.
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
