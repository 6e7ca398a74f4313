#pragma once

#include "Agent/AgentSettings.h"
#include "Entry/EntrySettings.h"

#include <CLI/CLI.hpp>

namespace Damaskgrade {

// Adds the options of the entry command. Each can also be set by an environment variable,
// whose name is DAMASKGRADE_ and the option in capitals with underscores.
void addEntryOptions(CLI::App& command, EntrySettings& settings);

// Adds the options of the agent command.
void addAgentOptions(CLI::App& command, AgentSettings& settings);

// Adds an option whose value is an endpoint, such as 127.0.0.1:8080.
CLI::Option* addEndpointOption(CLI::App& command, const std::string& name, Endpoint& target, const std::string& help);

// Lets an option also be set by an environment variable that is named after it, such as DAMASKGRADE_DRAIN_LIMIT for --drain-limit.
CLI::Option* withEnvironment(CLI::Option* option);

}
