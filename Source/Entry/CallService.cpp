#include "Entry/CallService.h"

#include "Entry/CallerRequest.h"

#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::size_t maxCacheBlocksPerServer = 20000;
constexpr std::chrono::microseconds assumedZoneLatency { 500 };
constexpr double defaultCustomerWeight = 1;
// Separates the call id from the query number in a query id.
constexpr char querySeparator = '/';

}

CallService::CallService(const Clock& clock, Random& random, HybridClock& hybridClock, Table& table, std::string availabilityZone, CallServiceHooks hooks)
    : clock_(clock)
    , hybridClock_(hybridClock)
    , hooks_(std::move(hooks))
    , claims_(table)
    , budget_(clock)
    , servers_(clock)
    , cache_(maxCacheBlocksPerServer)
    , outliers_(clock, OutlierSettings())
    , latencies_(assumedZoneLatency)
    , selector_(servers_, cache_, outliers_, latencies_, random, SelectorSettings { std::move(availabilityZone) },
          [this](std::string_view group) { return groupSkew(group); })
{
}

void CallService::agentConnected(const HelloMessage& hello)
{
    servers_.connected(hello);
    outliers_.add(hello.name, hello.serves);
    cache_.discard(hello.name);
}

void CallService::agentDisconnected(const std::string& agent)
{
    tickets_.clear(agent);
    updateHealth(agent, EngineHealth::Good);
    servers_.disconnected(agent);
    cache_.discard(agent);
    for (auto& [callId, call] : calls_) {
        if (call.driver)
            call.driver->linkClosed(agent);
    }
}

void CallService::receive(const std::string& agent, const Frame& frame)
{
    if (frame.type == TicketsMessage::type)
        receiveTickets(agent, decodeTickets(frame.body));
    else if (frame.type == PartMessage::type)
        receivePart(agent, decodePart(frame.body));
    else if (frame.type == EndMessage::type)
        receiveEnd(agent, decodeEnd(frame.body));
    else if (frame.type == RefusedMessage::type)
        receiveRefused(agent, decodeRefused(frame.body));
    else if (frame.type == ResolutionMessage::type) {
        ResolutionMessage message = decodeResolution(frame.body);
        ActiveCall* call = find(message.queryId.substr(0, message.queryId.find(querySeparator)));
        if (call != nullptr && call->driver)
            call->driver->receiveResolution(message);
    }
}

void CallService::receiveTickets(const std::string& agent, const TicketsMessage& message)
{
    const BackendServer* server = servers_.find(agent);
    if (server == nullptr)
        return;
    std::string serves = server->serves;
    updateHealth(agent, message.health);
    if (!server->group.empty())
        groupSkews_[server->group] = message.groupSkew;
    tickets_.add(agent, server->incarnation, message);
    servers_.ticketsReceived(agent, message);
    cache_.apply(agent, message.cacheEvents);
    updateTicketCount(agent);
    for (auto& [callId, call] : calls_) {
        if (call.driver && call.requirements.serves == serves)
            call.driver->ticketsAvailable();
    }
    advance(serves);
}

double CallService::groupSkew(std::string_view group) const
{
    auto found = groupSkews_.find(group);
    return found == groupSkews_.end() ? 1 : found->second;
}

void CallService::updateHealth(const std::string& agent, EngineHealth health)
{
    auto known = unhealthy_.find(agent);
    EngineHealth last = known == unhealthy_.end() ? EngineHealth::Good : known->second;
    if (health == last)
        return;
    if (health == EngineHealth::Good)
        unhealthy_.erase(agent);
    else
        unhealthy_[agent] = health;
    updateSuspicions();
}

// The ranks of a group advance in lock-step, so an engine that is stalled or unavailable stalls every rank of its group.
void CallService::updateSuspicions()
{
    std::set<std::string> groups;
    for (const auto& [agent, health] : unhealthy_) {
        const BackendServer* server = servers_.find(agent);
        if (server != nullptr && !server->group.empty())
            groups.insert(server->group);
    }
    std::vector<std::string> names;
    for (const auto& [name, server] : servers_.servers())
        names.push_back(name);
    for (const std::string& name : names) {
        bool isSuspected = groups.count(servers_.find(name)->group) != 0 || unhealthy_.count(name) != 0;
        bool wasSuspected = servers_.find(name)->isSuspected;
        servers_.setSuspected(name, isSuspected);
        if (isSuspected && !wasSuspected)
            moveCalls(name);
    }
}

void CallService::moveCalls(const std::string& agent)
{
    for (auto& [callId, call] : calls_) {
        if (call.driver && !call.isFinished)
            call.driver->engineStalled(agent);
    }
}

void CallService::receivePart(const std::string& agent, const PartMessage& message)
{
    servers_.callProgressed(agent);
    ActiveCall* call = find(message.callId);
    if (call == nullptr || !call->driver)
        return;
    auto waiting = call->sentAtByAgent.find(agent);
    if (waiting != call->sentAtByAgent.end()) {
        outliers_.callSucceeded(agent, clock_.now() - waiting->second);
        call->sentAtByAgent.erase(waiting);
    }
    call->driver->receivePart(message);
}

void CallService::receiveEnd(const std::string& agent, const EndMessage& message)
{
    servers_.callEnded(agent, message.callId);
    if (message.code == ResultCode::BackendServerFailed)
        outliers_.callFailed(agent);
    ActiveCall* call = find(message.callId);
    if (call != nullptr && call->driver)
        call->driver->receiveEnd(message);
}

void CallService::receiveRefused(const std::string& agent, const RefusedMessage& message)
{
    servers_.callEnded(agent, message.callId);
    ActiveCall* call = find(message.callId);
    if (call != nullptr && call->driver)
        call->driver->receiveRefused(message);
}

void CallService::configure(const Document& document)
{
    weights_.clear();
    maxCallsByCustomer_.clear();
    for (const auto& [name, customer] : document.customers) {
        weights_[name] = customer.weight;
        maxCallsByCustomer_[name] = customer.maxInFlight;
    }
    for (auto& [serves, controller] : admissions_)
        controller.setWeights(weights_);
    RetryBudgetSettings retries;
    retries.retriesPerCall = document.onCall.retryShare;
    retries.minRetriesPerSecond = document.onCall.retryFloorPerSecond;
    budget_.configure(retries);
    OutlierSettings ejection;
    ejection.consecutiveFailures = document.onCall.ejectAfterErrors;
    ejection.baseEjection = document.onCall.ejectionDuration;
    ejection.maximumEjectedShare = document.onCall.maxEjectedShare;
    outliers_.configure(ejection);
    driverSettings_.stallLimit = document.onCall.stallLimit;
    driverSettings_.unreachableTimeout = document.onCall.resolveTimeout;
}

bool CallService::isAtLimit(const std::string& customer) const
{
    auto limit = maxCallsByCustomer_.find(customer);
    auto calls = callsByCustomer_.find(customer);
    return limit != maxCallsByCustomer_.end() && calls != callsByCustomer_.end() && calls->second >= limit->second;
}

void CallService::setAgentDraining(const std::string& agent, bool isDraining)
{
    servers_.setDraining(agent, isDraining);
}

void CallService::submit(CallRequest request, CallRequirements requirements, CallHandlers handlers)
{
    ++counters_.received;
    if (isAtLimit(request.customer)) {
        Executed executed = executedAfterRefusal(request.mayBeRetry);
        ++counters_.outcomes[ResultCode::CustomerLimitReached];
        ++counters_.executed[executed];
        handlers.onOutcome({ ResultCode::CustomerLimitReached, executed, "" });
        return;
    }
    ++callsByCustomer_[request.customer];
    std::string callId = request.callId;
    ActiveCall call;
    call.requirements = std::move(requirements);
    call.handlers = std::move(handlers);
    call.request = std::move(request);
    // Resuming a stream needs no ticket. A retried non-idempotent call may not need one either: its driver
    // first reads the claim and requests admission only if it has to send the call.
    bool isAdmittedLater = call.request.position || (call.request.mayBeRetry && !call.request.isIdempotent);
    calls_.emplace(callId, std::move(call));
    if (isAdmittedLater)
        startDriver(callId);
    else
        requestAdmission(callId);
}

void CallService::requestAdmission(const std::string& callId)
{
    ActiveCall& call = calls_.at(callId);
    call.admission = AdmissionState::Queued;
    std::string serves = call.requirements.serves;
    AdmissionRequest admissionRequest;
    admissionRequest.callId = callId;
    admissionRequest.customer = call.request.customer;
    admissionRequest.priority = call.request.priority;
    admissionRequest.deadline = call.request.deadline;
    AdmissionController& controller = admission(serves);
    controller.setFreeTickets(servers_.ticketsHeld(serves));
    apply(serves, controller.submit(admissionRequest));
}

void CallService::cancel(const std::string& callId)
{
    ActiveCall* call = find(callId);
    if (call == nullptr)
        return;
    if (call->driver) {
        call->driver->cancel();
        return;
    }
    finish(callId, { ResultCode::Cancelled, Executed::No, "" });
}

void CallService::tick()
{
    std::vector<std::string> callIds;
    for (auto& [callId, call] : calls_) {
        if (call.driver && !call.isFinished)
            callIds.push_back(callId);
    }
    for (const std::string& callId : callIds)
        calls_.at(callId).driver->tick();
    std::vector<std::string> targets;
    for (auto& [serves, controller] : admissions_)
        targets.push_back(serves);
    for (const std::string& serves : targets)
        advance(serves);
    outliers_.evaluate();
    eraseFinished();
}

AdmissionController& CallService::admission(const std::string& serves)
{
    auto found = admissions_.find(serves);
    if (found != admissions_.end())
        return found->second;
    auto added = admissions_.emplace(serves, AdmissionController(clock_, AdmissionSettings(), CustomerShares(defaultCustomerWeight)));
    added.first->second.setWeights(weights_);
    return added.first->second;
}

void CallService::advance(const std::string& serves)
{
    AdmissionController& controller = admission(serves);
    controller.setFreeTickets(servers_.ticketsHeld(serves));
    for (const AdmissionDecision& decision : controller.advance())
        apply(serves, decision);
}

void CallService::apply(const std::string& serves, const AdmissionDecision& decision)
{
    ActiveCall* call = find(decision.callId);
    if (call == nullptr) {
        if (decision.action == AdmissionAction::Start)
            admission(serves).abandoned(decision.callId);
        return;
    }
    if (decision.action == AdmissionAction::Refuse) {
        finish(decision.callId, { decision.code, executedAfterRefusal(call->request.mayBeRetry), "" });
    } else if (decision.action == AdmissionAction::Start) {
        call->admission = AdmissionState::Started;
        if (call->driver)
            call->driver->ticketsAvailable();
        else
            startDriver(decision.callId);
    }
}

void CallService::startDriver(const std::string& callId)
{
    ActiveCall& call = calls_.at(callId);
    call.driver = std::make_unique<CallDriver>(call.request, clock_, claims_, budget_, hedges_, driverSettings_, makeDriverHooks(callId));
    call.driver->start();
}

CallDriverHooks CallService::makeDriverHooks(const std::string& callId)
{
    CallDriverHooks hooks;
    hooks.takeTicket = [this, callId](const CallRequest&, const std::set<std::string>& tried) { return takeTicket(callId, tried); };
    hooks.returnTicket = [this, callId](const Ticket& ticket) {
        tickets_.giveBack(ticket);
        servers_.callEnded(ticket.agent, callId);
        updateTicketCount(ticket.agent);
    };
    hooks.send = [this](const std::string& agent, const EntryMessage& message) {
        counters_.sent += std::holds_alternative<CallMessage>(message) ? 1 : 0;
        return std::visit([this, &agent](const auto& typed) { return hooks_.send(agent, encodeMessage(typed, hybridClock_.tick())); }, message);
    };
    hooks.configurationVersion = hooks_.configurationVersion;
    hooks.onText = [this, callId](std::string_view text, const std::string& agent, std::uint64_t offset) {
        ActiveCall* call = find(callId);
        if (call != nullptr)
            call->handlers.onText(text, agent, offset);
    };
    hooks.onOutcome = [this, callId](const CallOutcome& outcome) { finish(callId, outcome); };
    return hooks;
}

std::optional<Ticket> CallService::takeTicket(const std::string& callId, const std::set<std::string>& tried)
{
    ActiveCall* call = find(callId);
    if (call == nullptr)
        return std::nullopt;
    if (call->admission != AdmissionState::Started) {
        // The driver is notified when the admission controller starts the call.
        if (call->admission == AdmissionState::NotRequested)
            requestAdmission(callId);
        return std::nullopt;
    }
    std::vector<std::string> triedNames(tried.begin(), tried.end());
    SelectionRequest selectionRequest;
    selectionRequest.kind = call->requirements.kind;
    selectionRequest.serves = call->requirements.serves;
    selectionRequest.priority = call->request.priority;
    selectionRequest.prefix = call->requirements.prefix;
    selectionRequest.expectedTokens = call->requirements.expectedTokens;
    selectionRequest.tried = triedNames;
    Selection selection = selector_.select(selectionRequest);
    if (selection.code == ResultCode::NoBackendServer && !tried.empty()) {
        selectionRequest.tried = {};
        selection = selector_.select(selectionRequest);
    }
    if (selection.code != ResultCode::Ok)
        return std::nullopt;
    std::optional<Ticket> ticket = tickets_.take(selection.server);
    if (ticket) {
        servers_.callStarted(selection.server, callId);
        call->sentAtByAgent[selection.server] = clock_.now();
    }
    updateTicketCount(selection.server);
    return ticket;
}

void CallService::finish(const std::string& callId, const CallOutcome& outcome)
{
    ActiveCall* call = find(callId);
    if (call == nullptr)
        return;
    call->isFinished = true;
    --callsByCustomer_[call->request.customer];
    ++counters_.outcomes[outcome.code];
    ++counters_.executed[outcome.executed];
    for (const auto& [agent, since] : call->sentAtByAgent)
        servers_.callEnded(agent, callId);
    if (call->admission != AdmissionState::NotRequested) {
        AdmissionController& controller = admission(call->requirements.serves);
        if (outcome.code == ResultCode::Ok)
            controller.finished(callId);
        else
            controller.abandoned(callId);
    }
    // Erased later, since the driver of the call may be calling this function.
    finished_.push_back(callId);
    call->handlers.onOutcome(outcome);
}

CallService::ActiveCall* CallService::find(const std::string& callId)
{
    auto found = calls_.find(callId);
    return found == calls_.end() || found->second.isFinished ? nullptr : &found->second;
}

void CallService::updateTicketCount(const std::string& agent)
{
    servers_.setTicketsHeld(agent, tickets_.count(agent));
}

void CallService::eraseFinished()
{
    for (const std::string& callId : finished_)
        calls_.erase(callId);
    finished_.clear();
}

}
