#include "CommandLine/Program.h"

int main(int argumentCount, char** arguments)
{
    return Damaskgrade::runProgram(argumentCount, arguments);
}
