#include "CallLoadSimulation.h"

#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::uint64_t seed = 20261204;
// One third of the step time of an engine (27 ms), and approximately the tick period of EntryProcess (10 ms).
constexpr std::chrono::milliseconds simulationStep { 9 };
constexpr std::uint64_t stepsPerToken = 3;
// Approximately 50 ms and 500 ms, as in AgentProcess.
constexpr std::uint64_t stepsPerAgentTick = 6;
constexpr std::uint64_t stepsPerReport = 55;
constexpr std::size_t customers = 1300;
constexpr std::size_t promptBytes = 2000;
constexpr const char* tokenText = "word ";

}

CallRequest makeCall(std::uint64_t number, TimePoint now)
{
    CallRequest request;
    request.callId = "0123456789abcdef0123456789" + std::to_string(100000 + number);
    request.customer = "customer-" + std::to_string(number % customers);
    request.payload = std::string(promptBytes, 'p');
    request.deadline = now + std::chrono::minutes(1);
    return request;
}

HelloMessage makeHello(const std::string& agent)
{
    HelloMessage hello;
    hello.name = agent;
    hello.incarnation = "0123456789abcdef0123456789abcdef";
    hello.availabilityZone = "zone";
    hello.role = "agent";
    hello.engineKind = "model";
    hello.serves = "model";
    hello.group = "group-" + agent;
    return hello;
}

CallLoadSimulation::CallLoadSimulation(const CallLoadSettings& settings)
    : settings_(settings)
    , random_(seed)
    , hybridClock_(clock_)
{
    CallServiceHooks hooks;
    hooks.send = [this](const std::string& agent, const Frame& frame) {
        toAgents_.push_back({ agentIndexes_.at(agent), encodeFrame(frame) });
        counters_.callBytes += wireBytesForSize(toAgents_.back().bytes.size());
        return true;
    };
    hooks.configurationVersion = [] { return 1; };
    service_ = std::make_unique<CallService>(clock_, random_, hybridClock_, table_, "zone", hooks);
    agents_.resize(settings_.agents);
    for (std::size_t index = 0; index < settings_.agents; ++index)
        addAgent(index);
}

void CallLoadSimulation::addAgent(std::size_t index)
{
    Agent& agent = agents_[index];
    agent.name = "agent-" + std::to_string(1000 + index);
    agentIndexes_[agent.name] = index;
    AgentCallsSettings settings;
    settings.slots = settings_.slotsPerAgent;
    AgentCallsHooks hooks;
    hooks.startCall = [this, index](RunId run, const CallMessage&) { agents_[index].tokensLeft[run] = settings_.tokensPerCall; };
    hooks.cancelCall = [this, index](RunId run) { agents_[index].tokensLeft.erase(run); };
    hooks.send = [this, index](std::uint64_t session, const AgentMessage& message) {
        if (session != agents_[index].session)
            return;
        std::visit([this, index](const auto& typed) { sendToEntry(index, encodeMessage(typed, hybridClock_.tick())); }, message);
    };
    hooks.addLoadReport = [](TicketsMessage& message) { message.load.capacity = 128; };
    agent.calls = std::make_unique<AgentCalls>(agent.name, makeHello(agent.name).incarnation, clock_, settings, hooks);
    agent.session = agent.calls->openSession();
    for (std::size_t other = 1; other < settings_.sessionsPerAgent; ++other)
        agent.calls->openSession();
    service_->agentConnected(makeHello(agent.name));
}

void CallLoadSimulation::advance(Duration duration)
{
    for (TimePoint end = clock_.now() + duration; clock_.now() < end;)
        step();
    counters_.entrySeconds = entryTime_.seconds();
    counters_.agentSeconds = agentTime_.seconds();
}

void CallLoadSimulation::step()
{
    clock_.advance(simulationStep);
    ++steps_;
    agentTime_.measure([this] {
        deliverToAgents();
        if (steps_ % stepsPerToken == 0)
            runEngines();
        if (steps_ % stepsPerReport == 0)
            reportLoad();
        for (Agent& agent : agents_) {
            if (steps_ % stepsPerAgentTick == 0)
                agent.calls->tick();
        }
    });
    entryTime_.measure([this] {
        deliverToEntry();
        submitCalls();
        service_->tick();
    });
}

void CallLoadSimulation::submitCalls()
{
    pendingArrivals_ += settings_.callsPerSecond * std::chrono::duration<double>(simulationStep).count();
    for (; pendingArrivals_ >= 1; pendingArrivals_ -= 1) {
        CallRequirements needs;
        needs.serves = "model";
        CallHandlers handlers;
        handlers.onText = [this](std::string_view, const std::string&, std::uint64_t) { ++counters_.tokens; };
        handlers.onOutcome = [this](const CallOutcome& outcome) { ++(outcome.code == ResultCode::Ok ? counters_.succeeded : counters_.failed); };
        service_->submit(makeCall(++counters_.submitted, clock_.now()), needs, handlers);
    }
}

void CallLoadSimulation::runEngines()
{
    for (Agent& agent : agents_) {
        for (auto run = agent.tokensLeft.begin(); run != agent.tokensLeft.end();) {
            agent.calls->engineText(run->first, tokenText);
            if (--run->second > 0) {
                ++run;
                continue;
            }
            agent.calls->engineEnd(run->first, ResultCode::Ok, "");
            run = agent.tokensLeft.erase(run);
        }
    }
}

void CallLoadSimulation::reportLoad()
{
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        TicketsMessage message;
        message.session = agents_[index].session;
        message.load.capacity = 128;
        message.load.running = static_cast<std::uint32_t>(agents_[index].calls->runningCalls());
        message.load.stepTime = std::chrono::milliseconds(27);
        sendToEntry(index, encodeMessage(message, hybridClock_.tick()));
    }
}

void CallLoadSimulation::sendToEntry(std::size_t index, const Frame& frame)
{
    toEntry_.push_back({ index, encodeFrame(frame) });
    std::size_t size = wireBytesForSize(toEntry_.back().bytes.size());
    bool isTickets = frame.type == TicketsMessage::type;
    counters_.ticketMessages += isTickets ? 1 : 0;
    (isTickets ? counters_.ticketBytes : counters_.answerBytes) += size;
}

void CallLoadSimulation::deliverToEntry()
{
    std::deque<Delivery> deliveries;
    deliveries.swap(toEntry_);
    for (const Delivery& delivery : deliveries)
        service_->receive(agents_[delivery.agent].name, decodeFrame(delivery.bytes));
}

void CallLoadSimulation::deliverToAgents()
{
    std::deque<Delivery> deliveries;
    deliveries.swap(toAgents_);
    for (const Delivery& delivery : deliveries)
        receiveAtAgent(agents_[delivery.agent], decodeFrame(delivery.bytes));
}

void CallLoadSimulation::receiveAtAgent(Agent& agent, const Frame& frame)
{
    if (frame.type == CallMessage::type)
        agent.calls->receiveCall(agent.session, decodeCall(frame.body), clock_.now());
    else if (frame.type == CancelMessage::type)
        agent.calls->receiveCancel(agent.session, decodeCancel(frame.body));
    else if (frame.type == ResolveMessage::type)
        agent.calls->receiveResolve(agent.session, decodeResolve(frame.body));
}

}
