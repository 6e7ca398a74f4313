#include "CommandLine/Program.h"

#include <CLI/CLI.hpp>

namespace Damaskgrade {

int runProgram(int argumentCount, char** arguments)
{
    CLI::App app("Load balancer for expert-parallel model groups", "damaskgrade");
    app.set_version_flag("--version", DAMASKGRADE_VERSION);
    CLI11_PARSE(app, argumentCount, arguments);
    return 0;
}

}
