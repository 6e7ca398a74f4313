#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace Damaskgrade {

// Adds commands beside those of the product. The second argument takes the exit code of a command.
using CommandExtension = std::function<void(CLI::App&, int&)>;

// Runs the command that the arguments name and returns the exit code of the process.
int runProgram(int argumentCount, char** arguments, const CommandExtension& addFurtherCommands);

}
