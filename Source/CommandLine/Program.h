#pragma once

namespace Damaskgrade {

// Runs the command that the arguments name and returns the exit code of the process.
int runProgram(int argumentCount, char** arguments);

}
