#include "Core/ManualClock.h"
#include "Measure.h"
#include "Quarantine/PromptQuarantine.h"
#include "Sections.h"

#include <cstdio>
#include <memory>
#include <vector>

namespace Damaskgrade {

namespace {

// Different prompts of the measured requests.
constexpr std::size_t promptCount = 50;
constexpr std::size_t crashCount = 12;

std::vector<PromptPart> makePrompt(std::size_t number, std::size_t partCount)
{
    // All prompts share the first part.
    std::vector<PromptPart> parts { 1 };
    while (parts.size() < partCount)
        parts.push_back(number * 100000 + parts.size());
    return parts;
}

// Measures a request from its admission to its response, and the check that a request which waits at a server undergoes 20 times
// a second.
void printPrompt(std::size_t partCount, bool hasCrashes)
{
    ManualClock clock;
    std::size_t allocatedBefore = allocatedBytes();
    PromptQuarantine quarantine(clock, "entry", QuarantineSettings(), nullptr);
    for (std::size_t crash = 1; hasCrashes && crash <= crashCount; ++crash) {
        TimePoint sentAt = clock.now();
        clock.advance(std::chrono::milliseconds(100));
        quarantine.recordCrash(std::vector<CrashCandidate> { { makePrompt(1000 + crash, partCount), sentAt, false } });
    }
    std::vector<std::vector<PromptPart>> prompts;
    for (std::size_t number = 1; number <= promptCount; ++number)
        prompts.push_back(makePrompt(number, partCount));
    std::size_t next = 0;
    double requestSeconds = secondsPerCall([&] {
        const std::vector<PromptPart>& parts = prompts[++next % promptCount];
        quarantine.admit(parts, next);
        quarantine.isSuspect(parts);
        quarantine.recordResponse(parts);
        quarantine.release(parts, next);
    });
    double checkSeconds = secondsPerCall([&] {
        ++next;
        quarantine.mustWithdraw(prompts[next % promptCount], next);
    });
    double reportSeconds = secondsPerCall([&] { quarantine.nextReports(); });
    std::size_t memory = allocatedBytes() - allocatedBefore - promptCount * partCount * sizeof(PromptPart);
    std::printf("%5zu parts, %s: %8.2f us a request, %7.2f us a check, %8.2f us a report, %5zu records, %5zu KiB\n", partCount, hasCrashes ? "after crashes " : "without crashes",
        requestSeconds * 1e6, checkSeconds * 1e6, reportSeconds * 1e6, quarantine.recordCount(), memory / 1024);
}

}

void printQuarantine()
{
    std::printf("\nQuarantine of prompt parts, after %zu crashes of different prompts:\n", crashCount);
    for (bool hasCrashes : { false, true }) {
        for (std::size_t partCount : { 4U, 64U, 1400U })
            printPrompt(partCount, hasCrashes);
    }
}

}
