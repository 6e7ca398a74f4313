#include "CommandLine/ControlCommand.h"

#include "Core/Error.h"
#include "Logging/GroupHistory.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace Damaskgrade {

ControlCommand::ControlCommand(CLI::App& app, int& exitCode)
    : exitCode_(exitCode)
{
    CLI::App* command = app.add_subcommand("control", "Show who controlled the expert maps of model groups and how map changes went, from the logs of all rank agents");
    command->add_option("--group", group_, "Name of the group; all groups if it is not given");
    command->add_option("--from", from_, "First time to show, in milliseconds since 1970")->check(CLI::NonNegativeNumber);
    command->add_option("--until", until_, "Last time to show, in milliseconds since 1970")->check(CLI::NonNegativeNumber);
    command->add_option("log", logs_, "Log files; standard input if none is given")->check(CLI::ExistingFile);
    command->callback([this] { run(); });
}

void ControlCommand::run()
{
    GroupHistoryReader reader;
    if (logs_.empty())
        reader.read(std::cin);
    for (const std::string& path : logs_) {
        std::ifstream log(path);
        if (!log)
            throw Error(ResultCode::SettingsInvalid, "log file \"" + path + "\" can't be read");
        reader.read(log);
    }
    bool isAnyFound = false;
    for (const std::string& group : group_.empty() ? reader.groups() : std::vector<std::string> { group_ }) {
        GroupHistory history = reader.find(group, from_, until_);
        isAnyFound = isAnyFound || !history.entries.empty();
        std::cout << formatGroupHistory(group, history);
    }
    exitCode_ = isAnyFound ? 0 : 1;
}

}
