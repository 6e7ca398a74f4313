#include "CallsWorld.h"

#include <algorithm>

namespace Damaskgrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds tickInterval(10);
// The longest time that the world runs after the faults ended. Above all deadlines.
constexpr milliseconds healTime(12000);
constexpr milliseconds lingerTime(2000);
// The guarantee allows a draining agent a few seconds before nothing new starts.
constexpr milliseconds drainGrace(2000);

std::string agentName(std::size_t agent)
{
    return "agent" + std::to_string(agent);
}

}

// The table as one entry sees it: its answers wait while the entry is paused, and are lost when it is killed.
struct CallsWorld::EntryTable : Table {
    EntryTable(CallsWorld& usedWorld, std::size_t usedEntry)
        : world(usedWorld)
        , entry(usedEntry)
        , generation(usedWorld.entries_[usedEntry].generation)
    {
    }

    Duration delay() const
    {
        return milliseconds(world.tableMode_ == TableMode::Slow ? 50 + world.random_.index(1500) : 1 + world.random_.index(5));
    }

    template <typename Result, typename Done>
    void answer(const Result& result, const Done& done)
    {
        world.at(delay(), [this, &owner = world, number = entry, from = generation, result, done] {
            owner.post(owner.entries_[number], from, [result, done] { done(result); });
        });
    }

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        answer(world.tableMode_ == TableMode::Down ? TableReadResult() : world.table_.read(keys), done);
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        answer(world.tableMode_ == TableMode::Down ? TableReadResult() : world.table_.scan(prefix), done);
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        if (world.tableMode_ == TableMode::Down) {
            answer(TableWriteResult(), done);
            return;
        }
        bool isLost = world.tableMode_ == TableMode::LosesAcknowledgements && world.random_.index(2);
        if (!isLost) {
            answer(world.table_.write(writes), done);
            return;
        }
        // Half of the lost writes are applied only after the entry has read the row.
        if (world.random_.index(2))
            world.table_.write(writes);
        else
            world.at(milliseconds(100 + world.random_.index(1000)), [&owner = world, writes] { owner.table_.write(writes); });
        answer(TableWriteResult(), done);
    }

    CallsWorld& world;
    std::size_t entry;
    std::uint64_t generation;
};

CallsWorld::CallsWorld(std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t agent = 0; agent < agentCount; ++agent)
        startAgent(agent);
    for (std::size_t entry = 0; entry < entryCount; ++entry)
        startEntry(entry);
    at(tickInterval, [this] { tick(); });
    advance(50);
}

CallsWorld::~CallsWorld() = default;

WorldCounters& CallsWorld::counters()
{
    static WorldCounters counters;
    return counters;
}

void CallsWorld::at(Duration delay, std::function<void()> step)
{
    events_.emplace(clock_.now() + delay, std::move(step));
}

void CallsWorld::post(Process& process, std::uint64_t generation, std::function<void()> step)
{
    if (!process.isAlive || process.generation != generation)
        return;
    if (process.isPaused)
        process.inbox.push_back(std::move(step));
    else
        step();
}

void CallsWorld::resume(Process& process)
{
    process.isPaused = false;
    std::deque<std::function<void()>> waiting;
    waiting.swap(process.inbox);
    for (const std::function<void()>& step : waiting)
        step();
}

Duration CallsWorld::messageDelay()
{
    return milliseconds(1 + random_.index(static_cast<std::size_t>(maxDelayMs_)));
}

void CallsWorld::advance(int ms)
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

void CallsWorld::tick()
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
        // Finished drivers stay for a while, so that late messages and table answers reach them.
        for (auto driver = entry.drivers.begin(); driver != entry.drivers.end();) {
            if (driver->second->isFinished() && clock_.now() > driver->second->request().deadline + lingerTime)
                driver = entry.drivers.erase(driver);
            else
                ++driver;
        }
    }
    at(tickInterval, [this] { tick(); });
}

void CallsWorld::startEntry(std::size_t number)
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
    // The samples make hedges possible from the start.
    for (int sample = 0; sample < 50; ++sample)
        entry.hedges->observe(milliseconds(60));
}

void CallsWorld::killEntry(std::size_t number)
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
        if (requests_[request].entry == number && requests_[request].outcomes.empty() && !requests_[request].hasLeft)
            at(milliseconds(100), [this, request, number, connection = requests_[request].connection] {
                if (requests_[request].connection == connection)
                    moveCaller(request, number + 1);
            });
    }
}

void CallsWorld::pauseEntry(std::size_t number)
{
    entries_[number].isPaused = entries_[number].isAlive;
}

void CallsWorld::startAgent(std::size_t number)
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
            toEntry(link->second, message);
    };
    AgentCallsSettings settings;
    settings.slots = 8;
    agent.calls = std::make_unique<AgentCalls>(agentName(number), std::to_string(agent.generation), clock_, settings, hooks);
    if (!agent.isEngineUp)
        agent.calls->engineFailed("engine is down");
}

void CallsWorld::killAgent(std::size_t number)
{
    Agent& agent = agents_[number];
    if (!agent.isAlive)
        return;
    agent.isAlive = false;
    agent.inbox.clear();
    // The engine loses the agent and stops its calls.
    stopRuns(number);
    std::map<std::uint64_t, LinkPointer> links;
    links.swap(agent.links);
    for (const auto& entry : links) {
        LinkPointer link = entry.second;
        link->isOpenAtAgent = false;
        at(messageDelay(), [this, link] { closeAtEntry(link); });
    }
}

void CallsWorld::pauseAgent(std::size_t number)
{
    agents_[number].isPaused = agents_[number].isAlive;
}

void CallsWorld::killEngine(std::size_t number)
{
    Agent& agent = agents_[number];
    if (!agent.isEngineUp)
        return;
    agent.isEngineUp = false;
    stopRuns(number);
    post(agent, agent.generation, [this, number] { agents_[number].calls->engineFailed("engine is lost"); });
}

void CallsWorld::pauseEngine(std::size_t number)
{
    agents_[number].isEnginePaused = true;
}

void CallsWorld::startEngine(std::size_t number)
{
    Agent& agent = agents_[number];
    agent.isEnginePaused = false;
    if (agent.isEngineUp)
        return;
    agent.isEngineUp = true;
    post(agent, agent.generation, [this, number] { agents_[number].calls->engineAvailable(); });
}

void CallsWorld::drainAgent(std::size_t number)
{
    Agent& agent = agents_[number];
    if (!agent.isAlive || agent.isPaused || agent.drainStartedAt != TimePoint())
        return;
    agent.drainStartedAt = clock_.now();
    agent.calls->beginDrain();
}

void CallsWorld::setNetwork(double duplicates, int maxDelayMs)
{
    duplicates_ = duplicates;
    maxDelayMs_ = std::max(1, maxDelayMs);
}

void CallsWorld::connect(std::size_t entry, std::size_t agent)
{
    LinkPointer link = std::make_shared<Link>(Link { entry, agent, entries_[entry].generation, agents_[agent].generation });
    entries_[entry].links[agent] = link;
    link->session = agents_[agent].calls->openSession();
    agents_[agent].links[link->session] = link;
}

// Each side learns by itself that the link is closed. Until then it handles what it received.
void CallsWorld::closeLink(std::size_t entry, std::size_t agent)
{
    LinkPointer link = entries_[entry].links[agent];
    if (!link)
        return;
    at(messageDelay(), [this, link] { closeAtEntry(link); });
    at(milliseconds(1 + random_.index(2000)), [this, link] { closeAtAgent(link); });
}

void CallsWorld::closeAtEntry(const LinkPointer& link)
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

void CallsWorld::closeAtAgent(const LinkPointer& link)
{
    post(agents_[link->agent], link->agentGeneration, [this, link] {
        if (!link->isOpenAtAgent)
            return;
        link->isOpenAtAgent = false;
        agents_[link->agent].links.erase(link->session);
        agents_[link->agent].calls->closeSession(link->session);
    });
}

void CallsWorld::toAgent(const LinkPointer& link, const EntryMessage& message)
{
    int copies = random_.fraction() < duplicates_ ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        at(messageDelay(), [this, link, message] {
            post(agents_[link->agent], link->agentGeneration, [this, link, message] { receiveAtAgent(link, message); });
        });
    }
}

void CallsWorld::toEntry(const LinkPointer& link, const AgentMessage& message)
{
    int copies = random_.fraction() < duplicates_ ? 2 : 1;
    // Duplicate ticket messages would be a fault of the entry's wiring, which keeps them in order.
    if (std::holds_alternative<TicketsMessage>(message))
        copies = 1;
    for (int copy = 0; copy < copies; ++copy) {
        at(messageDelay(), [this, link, message] {
            post(entries_[link->entry], link->entryGeneration, [this, link, message] { receiveAtEntry(link, message); });
        });
    }
}

void CallsWorld::receiveAtAgent(const LinkPointer& link, const EntryMessage& message)
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

void CallsWorld::receiveAtEntry(const LinkPointer& link, const AgentMessage& message)
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
    // Each driver is given all messages, those of other calls too.
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

std::size_t CallsWorld::sendRequest(RequestKind kind, std::size_t entry, std::size_t keyNumber, bool reusesKey)
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

void CallsWorld::moveCaller(std::size_t number, std::size_t entry)
{
    CallerRequest& request = requests_[number];
    if (!request.outcomes.empty() || request.hasLeft)
        return;
    // What the old connection reports from now on does not reach the caller.
    ++request.connection;
    std::size_t old = request.entry;
    std::string callId = request.callIds.empty() ? std::string() : request.callIds.back();
    post(entries_[old], entries_[old].generation, [this, old, callId] {
        auto driver = entries_[old].drivers.find(callId);
        if (driver != entries_[old].drivers.end())
            driver->second->cancel();
    });
    ++counters().returns;
    startDriver(number, entry, true);
}

void CallsWorld::leaveCaller(std::size_t number)
{
    CallerRequest& request = requests_[number];
    if (!request.outcomes.empty() || request.hasLeft)
        return;
    request.hasLeft = true;
    std::size_t entry = request.entry;
    std::string callId = request.callIds.empty() ? std::string() : request.callIds.back();
    post(entries_[entry], entries_[entry].generation, [this, entry, callId] {
        auto driver = entries_[entry].drivers.find(callId);
        if (driver != entries_[entry].drivers.end())
            driver->second->cancel();
    });
}

void CallsWorld::startDriver(std::size_t number, std::size_t preferred, bool isRepeat)
{
    CallerRequest& caller = requests_[number];
    std::size_t entryNumber = preferred % entryCount;
    for (std::size_t step = 0; step < entryCount && !entries_[entryNumber].isAlive; ++step)
        entryNumber = (entryNumber + 1) % entryCount;
    Entry& entry = entries_[entryNumber];
    caller.entry = entryNumber;
    if (!entry.isAlive) {
        at(milliseconds(100), [this, number, entryNumber, isRepeat, connection = caller.connection] {
            if (requests_[number].connection == connection && requests_[number].outcomes.empty() && !requests_[number].hasLeft)
                startDriver(number, entryNumber, isRepeat);
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
    request.mayBeRetry = isRepeat;
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
    auto isCurrent = [this, number, connection] { return !requests_[number].hasLeft && requests_[number].connection == connection; };
    CallDriverHooks hooks;
    hooks.takeTicket = [this, entryNumber](const CallRequest&, const std::set<std::string>& tried) { return takeTicket(entryNumber, tried); };
    hooks.returnTicket = [this, entryNumber](const Ticket& ticket) { entries_[entryNumber].tickets[agentIndex(ticket.agent)].push_back(ticket); };
    hooks.send = [this, entryNumber](const std::string& agent, const EntryMessage& message) {
        LinkPointer link = entries_[entryNumber].links[agentIndex(agent)];
        if (!link)
            return false;
        if (std::holds_alternative<CallMessage>(message))
            ++counters().sends;
        toAgent(link, message);
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
            violate("request " + std::to_string(number) + " got a wrong offset");
        std::string found = check();
        if (!found.empty())
            violate(found);
    };
    std::shared_ptr<int> reports = std::make_shared<int>(0);
    hooks.onOutcome = [this, number, isCurrent, callId, reports](const CallOutcome& outcome) {
        if (++*reports > 1)
            violate(callId + " has two final outcomes");
        if (isCurrent())
            requests_[number].outcomes.push_back(outcome);
    };
    std::unique_ptr<CallDriver> driver = std::make_unique<CallDriver>(request, clock_, *entry.claims, *entry.budget, *entry.hedges, CallDriverSettings(), hooks);
    entry.drivers.emplace(callId, std::move(driver));
    post(entry, entry.generation, [this, entryNumber, callId] { entries_[entryNumber].drivers.at(callId)->start(); });
}

std::optional<Ticket> CallsWorld::takeTicket(std::size_t entry, const std::set<std::string>& tried)
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

void CallsWorld::startRun(std::size_t number, RunId run, const CallMessage& message)
{
    Agent& agent = agents_[number];
    bool isLate = agent.drainStartedAt != TimePoint() && clock_.now() > agent.drainStartedAt + drainGrace;
    if (isLate)
        violate(message.callId + " started at a draining agent");
    Execution execution;
    execution.callId = message.callId;
    const CallerRequest& request = requests_[requestByCallId_.at(message.callId)];
    execution.key = request.key;
    execution.payload = message.payload;
    execution.answer = message.resumeText;
    if (request.payload != message.payload)
        violate(message.callId + " has the payload of another request");
    agent.runs[run] = { executions_.size(), 2 + static_cast<int>(random_.index(12)) };
    executions_.push_back(execution);
    ++counters().executions;
    std::string found = check();
    if (!found.empty())
        violate(found);
}

// Each run adds text of its own, so that the text of two runs can't be exchanged unnoticed.
void CallsWorld::stepEngine(std::size_t number)
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

void CallsWorld::stopRuns(std::size_t number)
{
    for (const auto& entry : agents_[number].runs)
        executions_[entry.second.first].wasStopped = true;
    agents_[number].runs.clear();
}

std::size_t CallsWorld::agentIndex(const std::string& name) const
{
    return static_cast<std::size_t>(name.back() - '0');
}

void CallsWorld::violate(const std::string& text)
{
    if (violation_.empty())
        violation_ = text;
}

std::string CallsWorld::check() const
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
        bool isWhole = false;
        for (const Execution& execution : executions_) {
            bool isOwn = std::find(request.callIds.begin(), request.callIds.end(), execution.callId) != request.callIds.end();
            bool isSameKey = !request.key.empty() && execution.key == request.key && execution.payload == request.payload;
            if (isOwn && !request.outcomes.empty() && request.outcomes.front().executed == Executed::No)
                return "request " + std::to_string(number) + " was executed although its caller was told that it was not";
            if (!isOwn && !isSameKey)
                continue;
            isPrefix = isPrefix || execution.answer.compare(0, request.text.size(), request.text) == 0;
            if (request.outcomes.empty())
                continue;
            const std::string& told = request.kind == RequestKind::Completion ? request.text : request.outcomes.front().answer;
            isWhole = isWhole || (execution.isComplete && execution.answer == told);
        }
        if (!isPrefix)
            return "request " + std::to_string(number) + " got text that is no prefix of an answer to it";
        if (request.outcomes.size() > 1)
            return "request " + std::to_string(number) + " has two outcomes";
        if (!request.outcomes.empty() && request.outcomes.front().code == ResultCode::Ok && !isWhole)
            return "request " + std::to_string(number) + " was told Ok without its whole answer";
    }
    return {};
}

std::string CallsWorld::healAndCheck()
{
    setTable(TableMode::Up);
    setNetwork(0, 2);
    for (std::size_t agent = 0; agent < agentCount; ++agent) {
        startEngine(agent);
        startAgent(agent);
    }
    for (std::size_t entry = 0; entry < entryCount; ++entry)
        startEntry(entry);
    advance(static_cast<int>(healTime.count()));
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
        if (request.hasLeft)
            continue;
        if (request.outcomes.size() != 1)
            return "request " + std::to_string(number) + " has no outcome";
        const CallOutcome& outcome = request.outcomes.front();
        ++counters().outcomes[std::string(resultName(outcome.code)) + "/" + std::string(executedName(outcome.executed))];
        if (outcome.executed == Executed::Unknown)
            ++counters().executedUnknown;
    }
    ++counters().cases;
    return {};
}

}
