#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace Damaskgrade {

// Adds further commands to the app. The commands store their exit code in the second argument.
using CommandExtension = std::function<void(CLI::App&, int&)>;

// Runs the command that the arguments select. Returns the exit code of the process.
int runProgram(int argumentCount, char** arguments, const CommandExtension& addFurtherCommands);

}
