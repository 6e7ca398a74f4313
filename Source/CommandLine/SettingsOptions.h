#pragma once

#include "Agent/AgentSettings.h"
#include "Entry/EntrySettings.h"

#include <CLI/CLI.hpp>

namespace Damaskgrade {

// Adds the options of the entry command. Each has an environment variable of the same name,
// DAMASKGRADE_ and the option in capitals.
void addEntryOptions(CLI::App& command, EntrySettings& settings);

// Adds the options of the agent command.
void addAgentOptions(CLI::App& command, AgentSettings& settings);

// Adds an option that reads an endpoint.
CLI::Option* addEndpointOption(CLI::App& command, const std::string& name, Endpoint& target, const std::string& help);

// Sets the environment variable of an option from its name, such as DAMASKGRADE_DRAIN_LIMIT for --drain-limit.
CLI::Option* withEnvironment(CLI::Option* option);

}
