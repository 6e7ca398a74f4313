#include "CommandLine/ExplainCommand.h"

#include "Core/Error.h"
#include "Logging/RequestHistory.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace Damaskgrade {

ExplainCommand::ExplainCommand(CLI::App& app, int& exitCode)
    : exitCode_(exitCode)
{
    CLI::App* command = app.add_subcommand("explain", "Explain how a request ended, from the logs of all processes");
    command->add_option("request-id", requestId_, "Id of the request")->required();
    command->add_option("log", logs_, "Log files; standard input if none is given")->check(CLI::ExistingFile);
    command->callback([this] { run(); });
}

void ExplainCommand::run()
{
    RequestHistoryReader reader;
    if (logs_.empty())
        reader.read(std::cin);
    for (const std::string& path : logs_) {
        std::ifstream log(path);
        if (!log)
            throw Error(ResultCode::SettingsInvalid, "log file \"" + path + "\" can't be read");
        reader.read(log);
    }
    RequestHistory history = reader.find(requestId_);
    std::cout << formatHistory(requestId_, history);
    exitCode_ = history.entries.empty() ? 1 : 0;
}

}
