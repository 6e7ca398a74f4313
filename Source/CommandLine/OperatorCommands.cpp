#include "CommandLine/OperatorCommands.h"

#include "CommandLine/ApiClient.h"
#include "CommandLine/SettingsOptions.h"
#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr int exitRefused = 1;
constexpr int exitUndecided = 3;
constexpr std::chrono::milliseconds requestTimeout { 10000 };
constexpr std::chrono::milliseconds watchInterval { 500 };

std::string readInput(const std::string& file)
{
    if (file == "-")
        return { std::istreambuf_iterator<char>(std::cin), {} };
    std::ifstream stream(file);
    if (!stream)
        throw Error(ResultCode::SettingsInvalid, "cannot read " + file);
    return { std::istreambuf_iterator<char>(stream), {} };
}

// Returns a member of a JSON object as text without quotes, or an empty string if it is missing.
std::string field(const Json& json, const char* name)
{
    if (!json.contains(name))
        return "";
    return json[name].is_string() ? json[name].get<std::string>() : json[name].dump();
}

void printChange(const Json& change)
{
    std::cout << field(change, "id") << "  version " << field(change, "version") << "  " << field(change, "section")
              << "  " << field(change, "state") << "  " << field(change, "team") << "  in force on " << field(change, "in_force_on");
    if (!field(change, "reason").empty())
        std::cout << "  " << field(change, "reason");
    std::cout << "\n";
}

void printStatus(const Json& status)
{
    std::cout << field(status, "name") << " in " << field(status, "availability_zone") << ": "
              << (status.value("admitting", false) ? "admitting" : "not admitting") << ", configuration version "
              << field(status, "configuration_version") << ", " << field(status, "active_calls") << " calls";
    if (!field(status, "reason").empty())
        std::cout << " (" << field(status, "reason") << ")";
    std::cout << "\n";
    for (const Json& peer : status.value("peers", Json::array()))
        std::cout << "  entry " << field(peer, "slot") << ": " << field(peer, "state") << (peer.value("draining", false) ? ", draining" : "") << "\n";
    for (const Json& server : status.value("backend_servers", Json::array()))
        std::cout << "  backend server " << field(server, "name") << " (" << field(server, "serves") << ", " << field(server, "availability_zone")
                  << "): " << (server.value("connected", false) ? "connected" : "not connected") << ", "
                  << field(server, "tickets") << " tickets, " << field(server, "calls_in_flight") << " calls\n";
}

}

OperatorCommands::OperatorCommands(CLI::App& app, int& exitCode)
    : exitCode_(exitCode)
{
    addConfigCommands(app);
    CLI::App* status = app.add_subcommand("status", "Show the state of an entry instance");
    addConnectionOptions(*status);
    status->callback([this] { showStatus(); });
}

void OperatorCommands::addConnectionOptions(CLI::App& command)
{
    addEndpointOption(command, "--entry", entry_, "Address of an entry instance")->required();
    command.add_flag("--json", asJson_, "Print JSON");
}

void OperatorCommands::addConfigCommands(CLI::App& app)
{
    CLI::App* config = app.add_subcommand("config", "Read and change the configuration document");
    config->require_subcommand(1);
    CLI::App* get = config->add_subcommand("get", "Print the document or one section");
    addConnectionOptions(*get);
    get->add_option("--section", section_, "Section to print");
    get->callback([this] { getConfiguration(); });
    CLI::App* check = config->add_subcommand("check", "Check a document or a section without changing anything");
    addConnectionOptions(*check);
    check->add_option("--section", section_, "Section that the file holds; the whole document if not given");
    check->add_option("file", file_, "File to check, - for standard input")->required();
    check->callback([this] { checkConfiguration(); });
    CLI::App* set = config->add_subcommand("set", "Replace a section and wait until it is in force");
    addConnectionOptions(*set);
    set->add_option("--section", section_, "Section to replace")->required();
    set->add_option("--if-match", ifMatch_, "Version that the change is based on")->required();
    withEnvironment(set->add_option("--token", token_, "Token of the section's team"))->required();
    set->add_option("file", file_, "File with the new text, - for standard input")->required();
    set->callback([this] { setSection(); });
    CLI::App* history = config->add_subcommand("history", "List the changes known to an entry");
    addConnectionOptions(*history);
    history->callback([this] { showHistory(); });
    CLI::App* watch = config->add_subcommand("watch", "Print each version as it comes in force");
    addConnectionOptions(*watch);
    watch->add_option("--seconds", watchSeconds_, "Time to watch, in seconds")->check(CLI::Range(1, 86400));
    watch->callback([this] { watchConfiguration(); });
}

void OperatorCommands::getConfiguration()
{
    HttpResponse response = request("GET", section_.empty() ? "/v1/config" : "/v1/config/sections/" + percentEncode(section_));
    if (!checkResponse(response))
        return;
    std::string version = findHeader(response.headers, "ETag").value_or("");
    if (asJson_)
        std::cout << Json { { "version", version }, { "text", response.body } }.dump() << "\n";
    else
        std::cout << "# version " << version << "\n"
                  << response.body;
}

void OperatorCommands::checkConfiguration()
{
    std::string target = "/v1/config/check";
    if (!section_.empty())
        target += "?section=" + percentEncode(section_);
    HttpResponse response = request("POST", target, readInput(file_));
    if (checkResponse(response))
        std::cout << (asJson_ ? response.body : "valid") << "\n";
}

void OperatorCommands::setSection()
{
    std::vector<HttpHeader> headers { { "If-Match", "\"" + std::to_string(ifMatch_) + "\"" }, { "Authorization", "Bearer " + token_ } };
    HttpResponse response = request("PUT", "/v1/config/sections/" + percentEncode(section_), readInput(file_), headers);
    if (!checkResponse(response))
        return;
    if (response.status == 202)
        exitCode_ = exitUndecided;
    if (asJson_)
        std::cout << response.body << "\n";
    else
        printChange(Json::parse(response.body));
}

void OperatorCommands::showHistory()
{
    HttpResponse response = request("GET", "/v1/config/history");
    if (!checkResponse(response))
        return;
    if (asJson_) {
        std::cout << response.body << "\n";
        return;
    }
    Json history = Json::parse(response.body);
    for (const Json& change : history.at("changes"))
        printChange(change);
}

void OperatorCommands::watchConfiguration()
{
    std::string lastVersion;
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(watchSeconds_);
    while (std::chrono::steady_clock::now() < end) {
        HttpResponse response = request("GET", "/v1/status");
        if (!checkResponse(response))
            return;
        std::string version = field(Json::parse(response.body), "configuration_version");
        if (version != lastVersion)
            std::cout << "version " << version << " is in force" << std::endl;
        lastVersion = version;
        std::this_thread::sleep_for(watchInterval);
    }
}

void OperatorCommands::showStatus()
{
    HttpResponse response = request("GET", "/v1/status");
    if (!checkResponse(response))
        return;
    if (asJson_)
        std::cout << response.body << "\n";
    else
        printStatus(Json::parse(response.body));
}

HttpResponse OperatorCommands::request(const std::string& method, const std::string& target, const std::string& body, std::vector<HttpHeader> headers)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers = std::move(headers);
    return fetch(entry_, request, requestTimeout);
}

// Returns whether the response is a success. Otherwise prints the error and sets the exit code.
bool OperatorCommands::checkResponse(const HttpResponse& response)
{
    if (response.status < 300)
        return true;
    exitCode_ = exitRefused;
    if (asJson_) {
        std::cout << response.body << "\n";
        return false;
    }
    Json problem = Json::parse(response.body, nullptr, false);
    if (problem.is_object())
        std::cerr << "damaskgrade: " << field(problem, "title") << " (" << field(problem, "code") << "): " << field(problem, "detail") << "\n";
    else
        std::cerr << "damaskgrade: status " << response.status << "\n";
    return false;
}

}
