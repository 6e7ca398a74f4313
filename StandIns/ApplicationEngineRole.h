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
    // Calls that the engine reports it can run at the same time.
    std::uint32_t capacity { 32 };
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
    void reportLoad(HttpExchange& exchange);

    DelayedTasks delayed_;
    ApplicationEngineOptions options_;
    std::map<std::string, std::uint64_t> executions_;
    std::uint64_t bookings_ { 0 };
    std::uint32_t running_ { 0 };
    FaultControl faults_;
    HttpServer server_;
};

}
