#include "CommandLine/TimelineCommand.h"

#include "CommandLine/SettingsOptions.h"
#include "Core/SystemClock.h"
#include "Platform/HttpObjectStore.h"
#include "Timeline/TimelineFetcher.h"

#include <iostream>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds requestTimeout { 5000 };
constexpr int hybridCounterBits = 16;

HybridTime startOfWindow(std::chrono::minutes window)
{
    SystemClock clock;
    auto start = (clock.wallNow() - window).time_since_epoch();
    std::chrono::milliseconds elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(start);
    return static_cast<HybridTime>(elapsed.count()) << hybridCounterBits;
}

}

TimelineCommand::TimelineCommand(CLI::App& app)
{
    CLI::App* command = app.add_subcommand("timeline", "Print the events of all processes in causal order");
    addEndpointOption(*command, "--platform", platform_, "Address of the platform's services")->required();
    command->add_option("--processes", processes_, "Addresses of processes whose latest events are not stored yet, separated by commas")
        ->delimiter(',')
        ->type_name("IP:PORT");
    command->add_option("--minutes", minutes_, "How far to look back, in minutes")->check(CLI::Range(1, 100000));
    command->add_flag("--json", asJson_, "Print JSON");
    command->callback([this] { run(); });
}

void TimelineCommand::run()
{
    std::vector<Endpoint> processes;
    for (const std::string& process : processes_)
        processes.push_back(parseEndpoint(process));
    HybridTime from = startOfWindow(std::chrono::minutes(minutes_));
    EventLoop loop;
    HttpObjectStore store(loop, platform_, requestTimeout);
    HttpClient client(loop, requestTimeout);
    TimelineFetcher fetcher(store, client);
    fetcher.fetch(from, processes, [this, &loop, from](const TimelineReader& reader) {
        std::cout << (asJson_ ? reader.formatJson(from) : reader.formatText(from));
        loop.stop();
    });
    loop.run();
}

}
