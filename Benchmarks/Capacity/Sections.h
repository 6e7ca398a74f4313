#pragma once

namespace Damaskgrade {

// Deployment size and load of requirement R25.
constexpr int targetEntries = 340;
constexpr int targetAgents = 600;
constexpr double targetCallsPerSecond = 11000;
constexpr double targetTokensPerSecond = 2400000;
constexpr int targetGroups = 75;
constexpr double targetChangesPerSecond = 1900.0 / 86400;

// Each function prints one section of the results.
// printMembership also writes the traffic by number of entry slots to the file, unless the path is null.
void printMembership(const char* path);
void printConfigurationChanges();
void printEntryLosses();
void printLoadReports();
void printLinks();
void printAgentSubsets();
void printCalls();
void printDecisions();
void printQuarantine();
void printTableOperations();

}
