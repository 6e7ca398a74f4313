#include "CallsSimulation.h"

#include <algorithm>

namespace Damaskgrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds tickInterval(10);
// Duration of the simulation after the faults ended. Longer than all deadlines.
constexpr milliseconds recoveryDuration(12000);
constexpr milliseconds finishedDriverRetention(2000);
// A call that starts at an agent later than this after its drain began is a violation (requirement R13).
constexpr milliseconds drainGracePeriod(2000);

std::string agentName(std::size_t agent)
{
    return "agent" + std::to_string(agent);
}

}

// The table client of one entry. Responses wait while the entry is paused and are lost if it is killed.
struct CallsSimulation::EntryTable : Table {
    EntryTable(CallsSimulation& usedSimulation, std::size_t usedEntry)
        : simulation(usedSimulation)
        , entry(usedEntry)
        , generation(usedSimulation.entries_[usedEntry].generation)
    {
    }

    Duration delay() const
    {
        return milliseconds(simulation.tableMode_ == TableMode::Slow ? 50 + simulation.random_.index(1500) : 1 + simulation.random_.index(5));
    }

    template <typename Result, typename Done>
    void respond(const Result& result, const Done& done)
    {
        simulation.at(delay(), [this, &owner = simulation, number = entry, from = generation, result, done] {
            owner.post(owner.entries_[number], from, [result, done] { done(result); });
        });
    }

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        respond(simulation.tableMode_ == TableMode::Down ? TableReadResult() : simulation.table_.read(keys), done);
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        respond(simulation.tableMode_ == TableMode::Down ? TableReadResult() : simulation.table_.scan(prefix), done);
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        if (simulation.tableMode_ == TableMode::Down) {
            respond(TableWriteResult(), done);
            return;
        }
        bool isLost = simulation.tableMode_ == TableMode::LosesAcknowledgements && simulation.random_.index(2);
        if (!isLost) {
            respond(simulation.table_.write(writes), done);
            return;
        }
        // Half of the unacknowledged writes are applied late, usually after the entry has read the row.
        if (simulation.random_.index(2))
            simulation.table_.write(writes);
        else
            simulation.at(milliseconds(100 + simulation.random_.index(1000)), [&owner = simulation, writes] { owner.table_.write(writes); });
        respond(TableWriteResult(), done);
    }

    CallsSimulation& simulation;
    std::size_t entry;
    std::uint64_t generation;
};

CallsSimulation::CallsSimulation(std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t agent = 0; agent < agentCount; ++agent)
        startAgent(agent);
    for (std::size_t entry = 0; entry < entryCount; ++entry)
        startEntry(entry);
    at(tickInterval, [this] { tick(); });
    advance(50);
}

CallsSimulation::~CallsSimulation() = default;

CallsSimulationCounters& CallsSimulation::counters()
{
    static CallsSimulationCounters counters;
    return counters;
}

void CallsSimulation::at(Duration delay, std::function<void()> step)
{
    events_.emplace(clock_.now() + delay, std::move(step));
}

void CallsSimulation::post(Process& process, std::uint64_t generation, std::function<void()> step)
{
    if (!process.isAlive || process.generation != generation)
        return;
    if (process.isPaused)
        process.inbox.push_back(std::move(step));
    else
        step();
}

void CallsSimulation::resume(Process& process)
{
    process.isPaused = false;
    std::deque<std::function<void()>> waiting;
    waiting.swap(process.inbox);
    for (const std::function<void()>& step : waiting)
        step();
}

Duration CallsSimulation::messageDelay()
{
    return milliseconds(1 + random_.index(static_cast<std::size_t>(maxDelayMs_)));
}

void CallsSimulation::advance(int ms)
{
    TimePoint end = clock_.now() + milliseconds(ms);
    while (!events_.empty() && events_.begin()->first <= end) {
        auto first = events_.begin();
        std::function<void()> step = std::move(first->second);
        clock_.advance(std::max(Duration(0), first->first - clock_.now()));
        events_.erase(first);
        step();
    }
    clock_.advance(end - clock_.now());
}

void CallsSimulation::tick()
{
    for (std::size_t number = 0; number < agentCount; ++number) {
        Agent& agent = agents_[number];
        if (agent.isAlive && !agent.isPaused)
            agent.calls->tick();
        stepEngine(number);
    }
    for (std::size_t number = 0; number < entryCount; ++number) {
        Entry& entry = entries_[number];
        if (!entry.isAlive || entry.isPaused)
            continue;
        for (std::size_t agent = 0; agent < agentCount; ++agent) {
            if (!entry.links[agent] && agents_[agent].isAlive && !agents_[agent].isPaused && !random_.index(5))
                connect(number, agent);
        }
        for (auto& driver : entry.drivers)
            driver.second->tick();
        // Finished drivers are retained for some time, so that late messages and table responses reach them.
        for (auto driver = entry.drivers.begin(); driver != entry.drivers.end();) {
            if (driver->second->isFinished() && clock_.now() > driver->second->request().deadline + finishedDriverRetention)
                driver = entry.drivers.erase(driver);
            else
                ++driver;
        }
    }
    at(tickInterval, [this] { tick(); });
}

void CallsSimulation::startEntry(std::size_t number)
{
    Entry& entry = entries_[number];
    if (entry.isAlive) {
        if (entry.isPaused)
            resume(entry);
        return;
    }
    entry.isAlive = true;
    entry.isPaused = false;
    ++entry.generation;
    entry.tableClient = std::make_unique<EntryTable>(*this, number);
    entry.claims = std::make_unique<ClaimStore>(*entry.tableClient);
    entry.budget = std::make_unique<RetryBudget>(clock_);
    entry.hedges = std::make_unique<HedgePolicy>();
    // With these samples, calls are hedged from the start.
    for (int sample = 0; sample < 50; ++sample)
        entry.hedges->observe(milliseconds(60));
}

void CallsSimulation::killEntry(std::size_t number)
{
    Entry& entry = entries_[number];
    if (!entry.isAlive)
        return;
    entry.isAlive = false;
    entry.inbox.clear();
    entry.drivers.clear();
    for (std::size_t agent = 0; agent < agentCount; ++agent) {
        entry.tickets[agent].clear();
        if (LinkPointer link = entry.links[agent]) {
            link->isOpenAtEntry = false;
            entry.links[agent].reset();
            at(messageDelay(), [this, link] { closeAtAgent(link); });
        }
    }
    for (std::size_t request = 0; request < requests_.size(); ++request) {
        if (requests_[request].entry == number && requests_[request].outcomes.empty() && !requests_[request].isDisconnected)
            at(milliseconds(100), [this, request, number, connection = requests_[request].connection] {
                if (requests_[request].connection == connection)
                    moveCaller(request, number + 1);
            });
    }
}

void CallsSimulation::pauseEntry(std::size_t number)
{
    entries_[number].isPaused = entries_[number].isAlive;
}

void CallsSimulation::startAgent(std::size_t number)
{
    Agent& agent = agents_[number];
    if (agent.isAlive) {
        if (agent.isPaused)
            resume(agent);
        return;
    }
    agent.isAlive = true;
    agent.isPaused = false;
    ++agent.generation;
    agent.drainStartedAt = TimePoint();
    AgentCallsHooks hooks;
    hooks.startCall = [this, number](RunId run, const CallMessage& message) { startRun(number, run, message); };
    hooks.cancelCall = [this, number](RunId run) {
        auto found = agents_[number].runs.find(run);
        if (found == agents_[number].runs.end())
            return;
        executions_[found->second.first].wasStopped = true;
        agents_[number].runs.erase(found);
    };
    hooks.send = [this, number](std::uint64_t session, const AgentMessage& message) {
        auto link = agents_[number].links.find(session);
        if (link != agents_[number].links.end())
            sendToEntry(link->second, message);
    };
    AgentCallsSettings settings;
    settings.slots = 8;
    agent.calls = std::make_unique<AgentCalls>(agentName(number), std::to_string(agent.generation), clock_, settings, hooks);
    if (!agent.isEngineUp)
        agent.calls->engineFailed("engine is down");
}

void CallsSimulation::killAgent(std::size_t number)
{
    Agent& agent = agents_[number];
    if (!agent.isAlive)
        return;
    agent.isAlive = false;
    agent.inbox.clear();
    // The engine stops its calls when its agent is killed.
    stopRuns(number);
    std::map<std::uint64_t, LinkPointer> links;
    links.swap(agent.links);
    for (const auto& entry : links) {
        LinkPointer link = entry.second;
        link->isOpenAtAgent = false;
        at(messageDelay(), [this, link] { closeAtEntry(link); });
    }
}

void CallsSimulation::pauseAgent(std::size_t number)
{
    agents_[number].isPaused = agents_[number].isAlive;
}

void CallsSimulation::killEngine(std::size_t number)
{
    Agent& agent = agents_[number];
    if (!agent.isEngineUp)
        return;
    agent.isEngineUp = false;
    stopRuns(number);
    post(agent, agent.generation, [this, number] { agents_[number].calls->engineFailed("engine failed"); });
}

void CallsSimulation::pauseEngine(std::size_t number)
{
    agents_[number].isEnginePaused = true;
}

void CallsSimulation::startEngine(std::size_t number)
{
    Agent& agent = agents_[number];
    agent.isEnginePaused = false;
    if (agent.isEngineUp)
        return;
    agent.isEngineUp = true;
    post(agent, agent.generation, [this, number] { agents_[number].calls->engineAvailable(); });
}

void CallsSimulation::drainAgent(std::size_t number)
{
    Agent& agent = agents_[number];
    if (!agent.isAlive || agent.isPaused || agent.drainStartedAt != TimePoint())
        return;
    agent.drainStartedAt = clock_.now();
    agent.calls->beginDrain();
}

void CallsSimulation::setNetwork(double duplicates, int maxDelayMs)
{
    duplicates_ = duplicates;
    maxDelayMs_ = std::max(1, maxDelayMs);
}

void CallsSimulation::connect(std::size_t entry, std::size_t agent)
{
    LinkPointer link = std::make_shared<Link>(Link { entry, agent, entries_[entry].generation, agents_[agent].generation });
    entries_[entry].links[agent] = link;
    link->session = agents_[agent].calls->openSession();
    agents_[agent].links[link->session] = link;
}

// Each side detects the closed link separately. Until then it handles the messages that it received.
void CallsSimulation::closeLink(std::size_t entry, std::size_t agent)
{
    LinkPointer link = entries_[entry].links[agent];
    if (!link)
        return;
    at(messageDelay(), [this, link] { closeAtEntry(link); });
    at(milliseconds(1 + random_.index(2000)), [this, link] { closeAtAgent(link); });
}

void CallsSimulation::closeAtEntry(const LinkPointer& link)
{
    post(entries_[link->entry], link->entryGeneration, [this, link] {
        if (!link->isOpenAtEntry)
            return;
        link->isOpenAtEntry = false;
        Entry& entry = entries_[link->entry];
        entry.links[link->agent].reset();
        entry.tickets[link->agent].clear();
        for (auto& driver : entry.drivers)
            driver.second->linkClosed(agentName(link->agent));
    });
}

void CallsSimulation::closeAtAgent(const LinkPointer& link)
{
    post(agents_[link->agent], link->agentGeneration, [this, link] {
        if (!link->isOpenAtAgent)
            return;
        link->isOpenAtAgent = false;
        agents_[link->agent].links.erase(link->session);
        agents_[link->agent].calls->closeSession(link->session);
    });
}

void CallsSimulation::sendToAgent(const LinkPointer& link, const EntryMessage& message)
{
    int copies = random_.fraction() < duplicates_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        at(messageDelay(), [this, link, message] {
            post(agents_[link->agent], link->agentGeneration, [this, link, message] { receiveAtAgent(link, message); });
        });
    }
}

void CallsSimulation::sendToEntry(const LinkPointer& link, const AgentMessage& message)
{
    int copies = random_.fraction() < duplicates_ ? 2 : 1;
    // Ticket messages are not duplicated, because the links of an entry deliver each of them once.
    if (std::holds_alternative<TicketsMessage>(message))
        copies = 1;
    for (int copy = 0; copy < copies; ++copy) {
        at(messageDelay(), [this, link, message] {
            post(entries_[link->entry], link->entryGeneration, [this, link, message] { receiveAtEntry(link, message); });
        });
    }
}

void CallsSimulation::receiveAtAgent(const LinkPointer& link, const EntryMessage& message)
{
    if (!link->isOpenAtAgent)
        return;
    AgentCalls& calls = *agents_[link->agent].calls;
    if (const CallMessage* call = std::get_if<CallMessage>(&message))
        calls.receiveCall(link->session, *call, clock_.now());
    else if (const CancelMessage* cancel = std::get_if<CancelMessage>(&message))
        calls.receiveCancel(link->session, *cancel);
    else if (const ResolveMessage* resolve = std::get_if<ResolveMessage>(&message))
        calls.receiveResolve(link->session, *resolve);
    else
        calls.receiveFetch(link->session, std::get<FetchMessage>(message));
}

void CallsSimulation::receiveAtEntry(const LinkPointer& link, const AgentMessage& message)
{
    if (!link->isOpenAtEntry)
        return;
    Entry& entry = entries_[link->entry];
    if (const TicketsMessage* tickets = std::get_if<TicketsMessage>(&message)) {
        for (std::uint64_t number = 0; number < tickets->count; ++number)
            entry.tickets[link->agent].push_back({ agentName(link->agent), std::to_string(link->agentGeneration), tickets->session, tickets->firstSequence + number });
        for (auto& driver : entry.drivers)
            driver.second->ticketsAvailable();
        return;
    }
    // Each driver receives all messages, including those for other calls.
    for (auto& entryDriver : entry.drivers) {
        CallDriver& driver = *entryDriver.second;
        if (const RefusedMessage* refused = std::get_if<RefusedMessage>(&message))
            driver.receiveRefused(*refused);
        else if (const PartMessage* part = std::get_if<PartMessage>(&message))
            driver.receivePart(*part);
        else if (const EndMessage* end = std::get_if<EndMessage>(&message))
            driver.receiveEnd(*end);
        else
            driver.receiveResolution(std::get<ResolutionMessage>(message));
    }
}

std::size_t CallsSimulation::sendRequest(RequestKind kind, std::size_t entry, std::size_t keyNumber, bool reusesKey)
{
    CallerRequest request;
    request.kind = kind;
    std::size_t number = requests_.size();
    if (kind == RequestKind::Booking)
        request.key = "key" + std::to_string(keyNumber);
    request.payload = kind == RequestKind::Booking ? "book " + request.key : "request " + std::to_string(number);
    if (reusesKey)
        request.payload += " for another customer";
    requests_.push_back(request);
    ++counters().requests;
    startDriver(number, entry, false);
    return number;
}

void CallsSimulation::moveCaller(std::size_t number, std::size_t entry)
{
    CallerRequest& request = requests_[number];
    if (!request.outcomes.empty() || request.isDisconnected)
        return;
    // Later results of the old connection do not reach the caller.
    ++request.connection;
    std::size_t old = request.entry;
    std::string callId = request.callIds.empty() ? std::string() : request.callIds.back();
    post(entries_[old], entries_[old].generation, [this, old, callId] {
        auto driver = entries_[old].drivers.find(callId);
        if (driver != entries_[old].drivers.end())
            driver->second->cancel();
    });
    ++counters().movedCallers;
    startDriver(number, entry, true);
}

void CallsSimulation::disconnectCaller(std::size_t number)
{
    CallerRequest& request = requests_[number];
    if (!request.outcomes.empty() || request.isDisconnected)
        return;
    request.isDisconnected = true;
    std::size_t entry = request.entry;
    std::string callId = request.callIds.empty() ? std::string() : request.callIds.back();
    post(entries_[entry], entries_[entry].generation, [this, entry, callId] {
        auto driver = entries_[entry].drivers.find(callId);
        if (driver != entries_[entry].drivers.end())
            driver->second->cancel();
    });
}

void CallsSimulation::startDriver(std::size_t number, std::size_t preferred, bool isRetry)
{
    CallerRequest& caller = requests_[number];
    std::size_t entryNumber = preferred % entryCount;
    for (std::size_t step = 0; step < entryCount && !entries_[entryNumber].isAlive; ++step)
        entryNumber = (entryNumber + 1) % entryCount;
    Entry& entry = entries_[entryNumber];
    caller.entry = entryNumber;
    if (!entry.isAlive) {
        at(milliseconds(100), [this, number, entryNumber, isRetry, connection = caller.connection] {
            if (requests_[number].connection == connection && requests_[number].outcomes.empty() && !requests_[number].isDisconnected)
                startDriver(number, entryNumber, isRetry);
        });
        return;
    }
    CallRequest request;
    request.callId = "call" + std::to_string(++lastCall_);
    request.kind = caller.kind == RequestKind::Completion ? CallKind::Completion : CallKind::Service;
    request.customer = "customer";
    request.service = caller.kind == RequestKind::Booking ? "bookings" : "lookups";
    request.operation = "run";
    request.payload = caller.payload;
    request.isIdempotent = caller.kind != RequestKind::Booking;
    request.idempotencyKey = caller.key;
    request.mayBeRetry = isRetry;
    request.deadline = clock_.now() + milliseconds(2000 + random_.index(6000));
    std::string textCallId = request.callId;
    if (!caller.text.empty()) {
        textCallId = caller.textCallId;
        request.position = StreamPosition { caller.textAgent, textCallId, caller.text.size() };
    }
    caller.callIds.push_back(request.callId);
    requestByCallId_[request.callId] = number;

    std::string callId = request.callId;
    std::uint64_t connection = caller.connection;
    auto isCurrent = [this, number, connection] { return !requests_[number].isDisconnected && requests_[number].connection == connection; };
    CallDriverHooks hooks;
    hooks.takeTicket = [this, entryNumber](const CallRequest&, const std::set<std::string>& tried) { return takeTicket(entryNumber, tried); };
    hooks.returnTicket = [this, entryNumber](const Ticket& ticket) { entries_[entryNumber].tickets[agentIndex(ticket.agent)].push_back(ticket); };
    hooks.send = [this, entryNumber](const std::string& agent, const EntryMessage& message) {
        LinkPointer link = entries_[entryNumber].links[agentIndex(agent)];
        if (!link)
            return false;
        if (std::holds_alternative<CallMessage>(message))
            ++counters().sends;
        sendToAgent(link, message);
        return true;
    };
    hooks.configurationVersion = [] { return 1; };
    hooks.onText = [this, number, isCurrent, textCallId](std::string_view text, const std::string& agent, std::uint64_t offset) {
        if (!isCurrent())
            return;
        CallerRequest& current = requests_[number];
        current.text += text;
        current.textAgent = agent;
        current.textCallId = textCallId;
        if (offset != current.text.size())
            recordViolation("request " + std::to_string(number) + " received text with a wrong offset");
        std::string found = check();
        if (!found.empty())
            recordViolation(found);
    };
    std::shared_ptr<int> reports = std::make_shared<int>(0);
    hooks.onOutcome = [this, number, isCurrent, callId, reports](const CallOutcome& outcome) {
        if (++*reports > 1)
            recordViolation(callId + " has two final outcomes");
        if (isCurrent())
            requests_[number].outcomes.push_back(outcome);
    };
    std::unique_ptr<CallDriver> driver = std::make_unique<CallDriver>(request, clock_, *entry.claims, *entry.budget, *entry.hedges, CallDriverSettings(), hooks);
    entry.drivers.emplace(callId, std::move(driver));
    post(entry, entry.generation, [this, entryNumber, callId] { entries_[entryNumber].drivers.at(callId)->start(); });
}

std::optional<Ticket> CallsSimulation::takeTicket(std::size_t entry, const std::set<std::string>& tried)
{
    std::vector<std::size_t> preferred;
    std::vector<std::size_t> others;
    for (std::size_t agent = 0; agent < agentCount; ++agent) {
        if (entries_[entry].tickets[agent].empty())
            continue;
        (tried.count(agentName(agent)) ? others : preferred).push_back(agent);
    }
    const std::vector<std::size_t>& choices = preferred.empty() ? others : preferred;
    if (choices.empty())
        return std::nullopt;
    std::vector<Ticket>& tickets = entries_[entry].tickets[choices[random_.index(choices.size())]];
    Ticket ticket = tickets.back();
    tickets.pop_back();
    return ticket;
}

void CallsSimulation::startRun(std::size_t number, RunId run, const CallMessage& message)
{
    Agent& agent = agents_[number];
    bool isLate = agent.drainStartedAt != TimePoint() && clock_.now() > agent.drainStartedAt + drainGracePeriod;
    if (isLate)
        recordViolation(message.callId + " started at a draining agent");
    Execution execution;
    execution.callId = message.callId;
    const CallerRequest& request = requests_[requestByCallId_.at(message.callId)];
    execution.key = request.key;
    execution.payload = message.payload;
    execution.answer = message.resumeText;
    if (request.payload != message.payload)
        recordViolation(message.callId + " has the payload of another request");
    agent.runs[run] = { executions_.size(), 2 + static_cast<int>(random_.index(12)) };
    executions_.push_back(execution);
    ++counters().executions;
    std::string found = check();
    if (!found.empty())
        recordViolation(found);
}

// The text of each run is unique, so that a mix-up of two runs is detected.
void CallsSimulation::stepEngine(std::size_t number)
{
    Agent& agent = agents_[number];
    if (!agent.isEngineUp || agent.isEnginePaused || !agent.isAlive)
        return;
    std::vector<RunId> ids;
    for (const auto& entry : agent.runs)
        ids.push_back(entry.first);
    for (RunId id : ids) {
        if (!random_.index(3))
            continue;
        std::pair<std::size_t, int>& run = agent.runs.at(id);
        Execution& execution = executions_[run.first];
        std::string token = "[" + execution.callId + "/" + std::to_string(run.first) + "/" + std::to_string(run.second) + "]";
        execution.answer += token;
        bool isLast = --run.second == 0;
        execution.isComplete = isLast;
        if (isLast)
            agent.runs.erase(id);
        post(agent, agent.generation, [this, number, id, token, isLast] {
            agents_[number].calls->engineText(id, token);
            if (isLast)
                agents_[number].calls->engineEnd(id, ResultCode::Ok, {});
        });
    }
}

void CallsSimulation::stopRuns(std::size_t number)
{
    for (const auto& entry : agents_[number].runs)
        executions_[entry.second.first].wasStopped = true;
    agents_[number].runs.clear();
}

std::size_t CallsSimulation::agentIndex(const std::string& name) const
{
    return static_cast<std::size_t>(name.back() - '0');
}

void CallsSimulation::recordViolation(const std::string& text)
{
    if (violation_.empty())
        violation_ = text;
}

std::string CallsSimulation::check() const
{
    if (!violation_.empty())
        return violation_;
    std::map<std::string, int> executionsByKey;
    for (const Execution& execution : executions_) {
        if (!execution.key.empty() && ++executionsByKey[execution.key] > 1)
            return execution.key + " was executed twice";
    }
    for (std::size_t number = 0; number < requests_.size(); ++number) {
        const CallerRequest& request = requests_[number];
        bool isPrefix = request.text.empty();
        bool hasCompleteAnswer = false;
        for (const Execution& execution : executions_) {
            bool isSameRequest = std::find(request.callIds.begin(), request.callIds.end(), execution.callId) != request.callIds.end();
            bool isSameKey = !request.key.empty() && execution.key == request.key && execution.payload == request.payload;
            if (isSameRequest && !request.outcomes.empty() && request.outcomes.front().executed == Executed::No)
                return "request " + std::to_string(number) + " was executed but was reported as not executed";
            if (!isSameRequest && !isSameKey)
                continue;
            isPrefix = isPrefix || execution.answer.compare(0, request.text.size(), request.text) == 0;
            if (request.outcomes.empty())
                continue;
            const std::string& reportedAnswer = request.kind == RequestKind::Completion ? request.text : request.outcomes.front().answer;
            hasCompleteAnswer = hasCompleteAnswer || (execution.isComplete && execution.answer == reportedAnswer);
        }
        if (!isPrefix)
            return "request " + std::to_string(number) + " received text that is not a prefix of any of its answers";
        if (request.outcomes.size() > 1)
            return "request " + std::to_string(number) + " has two outcomes";
        if (!request.outcomes.empty() && request.outcomes.front().code == ResultCode::Ok && !hasCompleteAnswer)
            return "request " + std::to_string(number) + " ended with Ok without the complete answer";
    }
    return {};
}

std::string CallsSimulation::recoverAndCheck()
{
    setTable(TableMode::Up);
    setNetwork(0, 2);
    for (std::size_t agent = 0; agent < agentCount; ++agent) {
        startEngine(agent);
        startAgent(agent);
    }
    for (std::size_t entry = 0; entry < entryCount; ++entry)
        startEntry(entry);
    advance(static_cast<int>(recoveryDuration.count()));
    std::string found = check();
    if (!found.empty())
        return found;
    for (const Agent& agent : agents_) {
        if (agent.drainStartedAt != TimePoint() && agent.calls->drainState() != DrainState::Drained)
            return "an agent is still draining";
    }
    for (const Execution& execution : executions_) {
        if (!execution.isComplete && !execution.wasStopped)
            return execution.callId + " never ended at its engine";
    }
    for (std::size_t number = 0; number < requests_.size(); ++number) {
        const CallerRequest& request = requests_[number];
        if (request.isDisconnected)
            continue;
        if (request.outcomes.size() != 1)
            return "request " + std::to_string(number) + " has no outcome";
        const CallOutcome& outcome = request.outcomes.front();
        ++counters().outcomes[std::string(resultName(outcome.code)) + "/" + std::string(executedName(outcome.executed))];
        if (outcome.executed == Executed::Unknown)
            ++counters().executedUnknown;
    }
    ++counters().simulations;
    return {};
}

}
