#include "CommandLine/LoadCommand.h"

#include "Core/Error.h"
#include "Core/SystemClock.h"
#include "Load/LoadGenerator.h"

#include <iostream>

namespace Damaskgrade {

namespace {

constexpr int exitViolation = 1;

// Parses "name" or "name=weight".
LoadCustomer parseCustomer(const std::string& text)
{
    LoadCustomer customer;
    std::size_t equals = text.find('=');
    customer.name = text.substr(0, equals);
    if (equals == std::string::npos)
        return customer;
    try {
        customer.weight = std::stod(text.substr(equals + 1));
    } catch (const std::exception&) {
        throw Error(ResultCode::SettingsInvalid, "--customers has \"" + text + "\"; write name=weight, such as sofia=2.5");
    }
    return customer;
}

}

LoadCommand::LoadCommand(CLI::App& app, int& exitCode)
    : exitCode_(exitCode)
{
    CLI::App* command = app.add_subcommand("load", "Send calls at a given average rate and report their outcomes");
    command->add_option("--entries", entries_, "Addresses of entry instances, separated by commas")->required()->delimiter(',')->type_name("IP:PORT");
    command->add_option("--rate", options_.callsPerSecond, "Calls per second");
    command->add_option("--seconds", seconds_, "Length of the run, in seconds")->check(CLI::Range(1, 3600));
    command->add_option("--max-calls", options_.maxCalls, "Maximum number of calls");
    command->add_option("--seed", options_.seed, "Seed of the schedule");
    command->add_option("--model", options_.model, "Model of the completions");
    command->add_option("--completions", options_.completions, "Share of completions");
    command->add_option("--service", options_.service, "Service of the lookups and bookings");
    command->add_option("--lookups", options_.lookups, "Share of lookups");
    command->add_option("--lookup-operation", options_.lookupOperation, "Idempotent operation");
    command->add_option("--bookings", options_.bookings, "Share of bookings");
    command->add_option("--booking-operation", options_.bookingOperation, "Operation that is not idempotent");
    command->add_option("--min-tokens", options_.minTokens, "Fewest tokens of an answer");
    command->add_option("--max-tokens", options_.maxTokens, "Most tokens of an answer");
    command->add_option("--deadline-ms", deadlineMilliseconds_, "Deadline of each call, in milliseconds")->check(CLI::Range(1, 3600000));
    command->add_option("--customers", customers_, "Customers as name=weight, separated by commas")->delimiter(',');
    command->add_flag("--json", asJson_, "Print JSON");
    command->callback([this] { run(); });
}

void LoadCommand::run()
{
    for (const std::string& entry : entries_)
        options_.entries.push_back(parseEndpoint(entry));
    if (!customers_.empty())
        options_.customers.clear();
    for (const std::string& customer : customers_)
        options_.customers.push_back(parseCustomer(customer));
    options_.duration = std::chrono::seconds(seconds_);
    options_.deadline = std::chrono::milliseconds(deadlineMilliseconds_);
    EventLoop loop;
    SystemClock clock;
    LoadGenerator generator(loop, clock, options_);
    generator.start([this, &loop](const LoadTestReport& report) {
        std::cout << (asJson_ ? report.formatJson() : report.formatText()) << "\n";
        if (report.hasViolations())
            exitCode_ = exitViolation;
        loop.stop();
    });
    loop.run();
}

}
