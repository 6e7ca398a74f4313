#pragma once

#include "Core/Endpoint.h"
#include "StandIns/DelayedTasks.h"
#include "StandIns/FaultControl.h"

#include <map>
#include <string>

namespace Damaskgrade {

struct ApplicationEngineOptions {
    Endpoint listen;
    std::string name;
    std::string service;
    std::chrono::milliseconds serviceTime { 0 };
};

// Executes every call that it gets, without any check for repetition, and counts the executions
// by operation and key. Tests find duplicate executions by these counts.
class ApplicationEngineRole {
public:
    ApplicationEngineRole(EventLoop& loop, const ApplicationEngineOptions& options);

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    void handle(const Exchange& exchange);
    void execute(const Exchange& exchange, const std::string& operation);
    void reportExecutions(HttpExchange& exchange);

    DelayedTasks delayed_;
    ApplicationEngineOptions options_;
    std::map<std::string, std::uint64_t> executions_;
    std::uint64_t bookings_ { 0 };
    FaultControl faults_;
    HttpServer server_;
};

}
