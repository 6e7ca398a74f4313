#include "CommandLine/Program.h"
#include "platform/Commands.h"

int main(int argumentCount, char** arguments)
{
    return Damaskgrade::runProgram(argumentCount, arguments, Damaskgrade::Platform::addCommands);
}
