#pragma once

#include "Core/Endpoint.h"
#include "Transport/HttpMessage.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace Damaskgrade {

// The operator commands that send requests to an entry instance: config and status.
// Exit codes: 0 success, 1 refused or failed, 2 invalid usage, 3 not decided yet.
class OperatorCommands {
public:
    // Adds the commands to the app. A command that does not succeed stores its exit code in exitCode.
    OperatorCommands(CLI::App& app, int& exitCode);

private:
    void addConfigCommands(CLI::App& app);
    void addConnectionOptions(CLI::App& command);
    void getConfiguration();
    void checkConfiguration();
    void setSection();
    void showHistory();
    void watchConfiguration();
    void showStatus();
    HttpResponse request(const std::string& method, const std::string& target, const std::string& body = "", std::vector<HttpHeader> headers = {});
    bool checkResponse(const HttpResponse& response);

    int& exitCode_;
    Endpoint entry_;
    bool asJson_ { false };
    std::string section_;
    std::string file_;
    std::string token_;
    std::uint64_t ifMatch_ { 0 };
    int watchSeconds_ { 60 };
};

}
