#include "Measure.h"
#include "Sections.h"

#include <cstdio>
#include <functional>
#include <vector>

using namespace Damaskgrade;

namespace {

// Prints the speed of the machine before each section. On a shared machine it changes during the run.
void printCalibrated(const std::function<void()>& section)
{
    std::printf("\nCalibration: one core currently encodes and decodes %.0f thousand load reports per second.\n", 1e-3 / referenceFrameSeconds());
    section();
    std::fflush(stdout);
}

}

// Usage: benchCapacity [TSV file]
int main(int argumentCount, char** arguments)
{
    std::printf("Shares of a core apply to this machine at the calibration above each section; ratios between sizes also apply to other machines.\n");
    const char* path = argumentCount > 1 ? arguments[1] : nullptr;
    std::vector<std::function<void()>> sections { [path] { printMembership(path); }, printConfigurationChanges, printEntryLosses, printLoadReports, printLinks, printAgentSubsets, printCalls, printDecisions, printQuarantine, printTableOperations };
    for (const std::function<void()>& section : sections)
        printCalibrated(section);
    return 0;
}
