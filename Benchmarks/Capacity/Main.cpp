#include "Measure.h"
#include "Sections.h"

#include <cstdio>
#include <functional>
#include <vector>

using namespace Damaskgrade;

namespace {

// The machine is shared, so that its speed changes during the run.
void printCalibrated(const std::function<void()>& section)
{
    std::printf("\nCalibration: one core encodes and decodes %.0f thousand load reports a second now.\n", 1e-3 / referenceFrameSeconds());
    section();
    std::fflush(stdout);
}

}

// Usage: benchCapacity [tsv file]
int main(int argumentCount, char** arguments)
{
    std::printf("Shares of a core hold for this machine at the calibration above each section; ratios between sizes hold elsewhere.\n");
    const char* path = argumentCount > 1 ? arguments[1] : nullptr;
    std::vector<std::function<void()>> sections { [path] { printMembership(path); }, printConfigurationChanges, printEntryLosses, printLoadReports, printLinks, printAgentSubsets, printCalls, printDecisions, printTableOperations };
    for (const std::function<void()>& section : sections)
        printCalibrated(section);
    return 0;
}
