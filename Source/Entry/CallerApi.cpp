#include "Entry/CallerApi.h"

#include "Core/Error.h"
#include "Entry/ProblemDetails.h"
#include "Entry/ResponseWriter.h"
#include "Routing/PromptBlocks.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

const CustomerSettings& findCustomer(const Document& document, const CallerRequest& request)
{
    auto customer = document.customers.find(request.customer);
    if (customer == document.customers.end())
        throw Error(ResultCode::UnknownCustomer, "customer \"" + request.customer + "\" is not in the configuration; set X-Customer");
    return customer->second;
}

void checkModel(const Document& document, const CustomerSettings& customer, const CallerRequest& request)
{
    if (document.models.count(request.target) == 0)
        throw Error(ResultCode::UnknownModel, "model \"" + request.target + "\" is not in the configuration");
    if (customer.models.count(request.target) == 0)
        throw Error(ResultCode::UnknownModel, "customer \"" + request.customer + "\" is not allowed to use model \"" + request.target + "\"");
}

const OperationSettings& findOperation(const Document& document, const CustomerSettings& customer, const CallerRequest& request)
{
    auto service = document.services.find(request.target);
    if (service == document.services.end())
        throw Error(ResultCode::UnknownService, "service \"" + request.target + "\" is not in the configuration");
    if (customer.services.count(request.target) == 0)
        throw Error(ResultCode::UnknownService, "customer \"" + request.customer + "\" is not allowed to use service \"" + request.target + "\"");
    auto operation = service->second.operations.find(request.operation);
    if (operation == service->second.operations.end())
        throw Error(ResultCode::UnknownService, "service \"" + request.target + "\" has no operation \"" + request.operation + "\"");
    if (!operation->second.isIdempotent && request.idempotencyKey.empty())
        throw Error(ResultCode::MissingIdempotencyKey, "operation \"" + request.operation + "\" is not idempotent and requires an Idempotency-Key");
    return operation->second;
}

std::chrono::milliseconds timeLimit(const Document& document, const CustomerSettings& customer, const CallerRequest& request)
{
    std::chrono::milliseconds configuredLimit = customer.deadline.count() > 0 ? customer.deadline : document.onCall.defaultDeadline;
    return std::min(request.timeLeft.value_or(configuredLimit), document.onCall.maxDeadline);
}

CallRequirements makeRequirements(const CallerRequest& request)
{
    CallRequirements requirements;
    requirements.kind = request.kind == CallKind::Completion ? BackendServerKind::Model : BackendServerKind::Application;
    requirements.serves = request.target;
    requirements.expectedTokens = request.maxTokens;
    if (request.kind == CallKind::Completion)
        requirements.prefix = promptBlockHashes(request.prompt);
    return requirements;
}

}

CallerApi::CallerApi(const Clock& clock, Random& random, CallService& calls, CallerApiHooks hooks)
    : clock_(clock)
    , random_(random)
    , calls_(calls)
    , hooks_(std::move(hooks))
{
}

void CallerApi::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    Executed executed = executedAfterRefusal(isRetryAttempt(exchange->request()));
    ResultCode admission = hooks_.admission();
    if (admission != ResultCode::Ok) {
        exchange->respond(problemResponse(admission, executed, "use another address from /v1/addresses"));
        return;
    }
    try {
        submit(exchange, parseCallerRequest(exchange->request()));
    } catch (const Error& error) {
        exchange->respond(problemResponse(error.code(), executed, error.what()));
    }
}

void CallerApi::submit(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request)
{
    CallRequest call = makeCall(request);
    std::string callId = call.callId;
    CallHandlers handlers = makeHandlers(exchange, request, callId);
    exchange->setCloseHandler([this, callId] { calls_.cancel(callId); });
    calls_.submit(std::move(call), makeRequirements(request), std::move(handlers));
}

// Call ids are generated here and not taken from callers: two callers that use the same id would receive
// each other's answers.
CallRequest CallerApi::makeCall(const CallerRequest& request) const
{
    const Document& document = hooks_.configuration();
    const CustomerSettings& customer = findCustomer(document, request);
    CallRequest call;
    call.callId = random_.identifier();
    call.kind = request.kind;
    call.customer = request.customer;
    call.priority = static_cast<std::int32_t>(customer.priority);
    call.payload = request.payload;
    call.position = request.resumeFrom;
    call.deadline = clock_.now() + timeLimit(document, customer, request);
    if (request.kind == CallKind::Completion) {
        checkModel(document, customer, request);
        return call;
    }
    const OperationSettings& operation = findOperation(document, customer, request);
    call.service = request.target;
    call.operation = request.operation;
    call.isIdempotent = operation.isIdempotent;
    call.idempotencyKey = operation.isIdempotent ? "" : request.idempotencyKey;
    call.mayBeRetry = request.mayBeRetry;
    return call;
}

CallHandlers CallerApi::makeHandlers(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request, const std::string& callId)
{
    auto writer = std::make_shared<ResponseWriter>(exchange, request, callId);
    CallHandlers handlers;
    handlers.onText = [this, writer, callId](std::string_view text, const std::string& agent, std::uint64_t offset) {
        if (!writer->writeText(text, agent, offset))
            calls_.cancel(callId);
    };
    handlers.onOutcome = [writer](const CallOutcome& outcome) { writer->writeOutcome(outcome); };
    return handlers;
}

}
