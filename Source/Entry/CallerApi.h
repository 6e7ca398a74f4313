#pragma once

#include "Configuration/Document.h"
#include "Core/Random.h"
#include "Entry/CallService.h"
#include "Entry/CallerRequest.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <memory>

namespace Damaskgrade {

struct CallerApiHooks {
    // Returns Ok if new work may be admitted now, otherwise the reason for refusal.
    std::function<ResultCode()> admission;
    // Returns the configuration in force.
    std::function<const Document&()> configuration;
};

// Handles requests from callers: validates them, submits the calls and writes the responses.
class CallerApi {
public:
    CallerApi(const Clock& clock, Random& random, CallService& calls, CallerApiHooks hooks);

    // Handles a POST request from a caller.
    void handle(const std::shared_ptr<HttpExchange>& exchange);

private:
    void submit(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request);
    CallRequest makeCall(const CallerRequest& request) const;
    CallHandlers makeHandlers(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request, const std::string& callId);

    const Clock& clock_;
    Random& random_;
    CallService& calls_;
    CallerApiHooks hooks_;
};

}
