#include "CommandLine/Program.h"

#include "Agent/AgentProcess.h"
#include "CommandLine/ControlCommand.h"
#include "CommandLine/ExplainCommand.h"
#include "CommandLine/LoadCommand.h"
#include "CommandLine/OperatorCommands.h"
#include "CommandLine/SettingsOptions.h"
#include "CommandLine/TimelineCommand.h"
#include "Core/Error.h"
#include "Core/SystemClock.h"
#include "Entry/EntryProcess.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <iostream>

namespace Damaskgrade {

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

void startLogging()
{
    google::InitGoogleLogging("damaskgrade");
    // Instances have no disks, so logs go to standard error only.
    FLAGS_logtostderr = true;
}

void checkEntrySettings(const EntrySettings& settings)
{
    bool isSlot = std::find(settings.slots.begin(), settings.slots.end(), settings.name) != settings.slots.end();
    if (!isSlot)
        throw Error(ResultCode::SettingsInvalid, "--name is \"" + settings.name + "\", which --slots does not list");
}

int runEntry(const EntrySettings& settings)
{
    checkEntrySettings(settings);
    startLogging();
    EventLoop loop;
    SystemClock clock;
    Random random(systemSeed());
    EntryProcess process(loop, clock, random, settings);
    LOG(INFO) << "entry " << settings.name << " listens on " << formatEndpoint(settings.callers);
    loop.run();
    return exitOk;
}

int runAgent(const AgentSettings& settings)
{
    startLogging();
    EventLoop loop;
    SystemClock clock;
    Random random(systemSeed());
    AgentProcess process(loop, clock, random, settings);
    LOG(INFO) << "agent " << settings.name << " listens on " << formatEndpoint(settings.link);
    loop.run();
    return exitOk;
}

}

int runProgram(int argumentCount, char** arguments, const CommandExtension& addFurtherCommands)
{
    CLI::App app("Load balancer for expert-parallel model groups", "damaskgrade");
    app.set_version_flag("--version", DAMASKGRADE_VERSION);
    app.require_subcommand(1);
    int exitCode = exitOk;
    EntrySettings entrySettings;
    CLI::App* entry = app.add_subcommand("entry", "Run an entry instance");
    addEntryOptions(*entry, entrySettings);
    entry->callback([&] { exitCode = runEntry(entrySettings); });
    AgentSettings agentSettings;
    CLI::App* agent = app.add_subcommand("agent", "Run the agent of a backend server");
    addAgentOptions(*agent, agentSettings);
    agent->callback([&] { exitCode = runAgent(agentSettings); });
    OperatorCommands commands(app, exitCode);
    TimelineCommand timeline(app);
    LoadCommand load(app, exitCode);
    ExplainCommand explain(app, exitCode);
    ControlCommand control(app, exitCode);
    addFurtherCommands(app, exitCode);
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exitOk : exitUsage;
    } catch (const Error& error) {
        std::cerr << "damaskgrade: " << error.what() << " (" << resultNumber(error.code()) << ")\n";
        return error.code() == ResultCode::SettingsInvalid ? exitUsage : exitFailure;
    }
    return exitCode;
}

}
