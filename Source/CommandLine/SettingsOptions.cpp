#include "CommandLine/SettingsOptions.h"

#include "Core/Error.h"

#include <cctype>
#include <map>

namespace Damaskgrade {

namespace {

constexpr int maxNameLength = 64;

// Names appear in table keys, event ids and paths, so only letters, digits, "-", "_" and "." are allowed.
std::string checkName(const std::string& text)
{
    bool isValid = !text.empty() && text.size() <= maxNameLength;
    for (char character : text)
        isValid = isValid && (std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.');
    if (isValid)
        return {};
    return "\"" + text + "\" is not a valid name; use up to " + std::to_string(maxNameLength) + " letters, digits, \"-\", \"_\" or \".\"";
}

void addIdentity(CLI::App& command, std::string& name, std::string& availabilityZone)
{
    withEnvironment(command.add_option("--name", name, "Name of this instance"))->required()->check(checkName);
    withEnvironment(command.add_option("--availability-zone", availabilityZone, "Availability zone of this instance"))->required()->check(checkName);
}

void addLinkKeys(CLI::App& command, LinkKeys& keys)
{
    auto check = [](const std::string& text) -> std::string {
        try {
            LinkKeys::parse(text);
            return {};
        } catch (const Error& error) {
            return error.what();
        }
    };
    auto set = [&keys](const std::string& text) { keys = LinkKeys::parse(text); };
    // Other users of the instance can read flags but not environment variables.
    withEnvironment(command.add_option_function<std::string>("--link-keys", set, "Keys for links as id:secret,id:secret; better set as DAMASKGRADE_LINK_KEYS"))
        ->check(check)
        ->type_name("KEYS");
}

void addPlatform(CLI::App& command, Endpoint& platform, std::chrono::milliseconds& timeout, std::chrono::seconds& drainLimit)
{
    addEndpointOption(command, "--platform", platform, "Address of the platform's services")->required();
    auto setTimeout = [&timeout](const std::int64_t& value) { timeout = std::chrono::milliseconds(value); };
    withEnvironment(command.add_option_function<std::int64_t>("--platform-timeout-ms", setTimeout, "Time limit of a request to the platform, in milliseconds"))
        ->check(CLI::Range(10, 60000));
    auto setDrainLimit = [&drainLimit](const std::int64_t& value) { drainLimit = std::chrono::seconds(value); };
    withEnvironment(command.add_option_function<std::int64_t>("--drain-limit-s", setDrainLimit, "Longest wait for running calls at a graceful shutdown, in seconds"))
        ->check(CLI::Range(1, 86400));
}

}

CLI::Option* withEnvironment(CLI::Option* option)
{
    std::string variable = "DAMASKGRADE_";
    for (char character : option->get_single_name())
        variable += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    return option->envname(variable);
}

CLI::Option* addEndpointOption(CLI::App& command, const std::string& name, Endpoint& target, const std::string& help)
{
    auto check = [](const std::string& text) -> std::string {
        try {
            parseEndpoint(text);
            return {};
        } catch (const Error& error) {
            return error.what();
        }
    };
    auto set = [&target](const std::string& text) { target = parseEndpoint(text); };
    CLI::Option* option = command.add_option_function<std::string>(name, set, help)->check(check)->type_name("IP:PORT");
    return withEnvironment(option);
}

void addEntryOptions(CLI::App& command, EntrySettings& settings)
{
    addIdentity(command, settings.name, settings.availabilityZone);
    addEndpointOption(command, "--callers", settings.callers, "Address for callers and operators")->required();
    addEndpointOption(command, "--link", settings.link, "Address for other entries")->required();
    addLinkKeys(command, settings.linkKeys);
    addPlatform(command, settings.platform, settings.platformTimeout, settings.drainLimit);
    withEnvironment(command.add_option("--slots", settings.slots, "Names of all entry slots, separated by commas"))
        ->required()
        ->delimiter(',')
        ->check(checkName);
    withEnvironment(command.add_option("--initial-document", settings.initialDocument, "Configuration document to store if the table holds none"))
        ->check(CLI::ExistingFile);
}

void addAgentOptions(CLI::App& command, AgentSettings& settings)
{
    addIdentity(command, settings.name, settings.availabilityZone);
    addEndpointOption(command, "--link", settings.link, "Address for entries")->required();
    addLinkKeys(command, settings.linkKeys);
    addEndpointOption(command, "--http", settings.http, "Address for metrics and health")->required();
    addEndpointOption(command, "--engine", settings.engine, "Address of the backend server beside this agent")->required();
    std::map<std::string, EngineKind> kinds { { "model", EngineKind::Model }, { "application", EngineKind::Application } };
    withEnvironment(command.add_option("--engine-kind", settings.engineKind, "Kind of the backend server: model or application"))
        ->required()
        ->transform(CLI::CheckedTransformer(kinds).description("{model,application}"));
    withEnvironment(command.add_option("--serves", settings.serves, "Model or service of the backend server"))->required()->check(checkName);
    withEnvironment(command.add_option("--group", settings.group, "Model group of the backend server"))->check(checkName);
    withEnvironment(command.add_option("--group-members", settings.groupMembers, "Names of all agents of the model group, separated by commas"))
        ->delimiter(',')
        ->check(checkName);
    withEnvironment(command.add_option("--ranks", settings.ranks, "Ranks of the backend server"))->check(CLI::Range(1, 4096));
    addPlatform(command, settings.platform, settings.platformTimeout, settings.drainLimit);
}

}
