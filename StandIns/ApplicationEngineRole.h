#pragma once

#include "Core/Endpoint.h"
#include "StandIns/DelayedTasks.h"
#include "StandIns/FaultControl.h"

#include <map>
#include <string>

namespace Damaskgrade {

// The command-line options of an application engine.
struct ApplicationEngineOptions {
    Endpoint listen;
    std::string name;
    std::string service;
    // Duration of a call.
    std::chrono::milliseconds serviceTime { 0 };
    // The number of concurrent calls that the load report gives as capacity. It isn't enforced.
    std::uint32_t capacity { 32 };
};

// A simulated application engine. It executes every call, without detecting duplicates, and counts the
// executions by operation and idempotency key, so that tests can detect duplicate executions.
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
