#include "MapSwitch/MapSwitchSimulation.h"

#include <algorithm>
#include <stdexcept>

namespace Damaskgrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds tickInterval { 10 };
constexpr std::size_t ranksPerEngine = 2;
constexpr std::size_t controllerCount = 2;
const std::string groupName = "g";

const char* const actionNames[] = { "Wait", "RequestMap", "KillAgent", "StartAgent", "KillEngine", "StartEngine", "RestartEngineAndAgent",
    "StallEngine", "PauseController", "ResumeController", "RestartController", "TableDown", "TableUp", "LoseAcknowledgements",
    "LoseMessages", "DelayMessages", "DuplicateMessages", "LoadSlowly", "DelayEngineResponses", "RestartAll", "ClearFaults", "IsolatedTableOutage" };

}

std::string describe(const Action& action)
{
    return "{ ActionKind::" + std::string(actionNames[static_cast<int>(action.kind)]) + ", " + std::to_string(action.targetIndex) + ", " + std::to_string(action.amount) + " }";
}

struct MapSwitchSimulation::EngineProcess {
    explicit EngineProcess(bool checksToken)
        : engine(checksToken)
    {
    }
    FakeEngine engine;
    bool isAlive { true };
    std::uint64_t incarnation { 0 };
    TimePoint stalledUntil;
};

// The agent's connection to its engine. Responses are delayed and can be lost.
class MapSwitchSimulation::EngineLink : public MapEngine {
public:
    EngineLink(MapSwitchSimulation& simulation, EngineProcess& process)
        : simulation_(simulation)
        , process_(process)
    {
    }

    void prepare(const Epoch& epoch, MapVersion version, const std::string&, std::function<void(ResultCode)> done) override
    {
        MapSwitchSimulation& simulation = simulation_;
        EngineProcess& process = process_;
        call([&simulation, &process, epoch, version] {
            MapVersion before = process.engine.loadingVersion();
            ResultCode code = process.engine.prepare(epoch, version);
            if (process.engine.loadingVersion() == before)
                return code;
            std::uint64_t incarnation = process.incarnation;
            simulation.schedule(simulation.loadTime_, [&process, version, incarnation] {
                if (process.incarnation == incarnation && process.engine.loadingVersion() == version)
                    process.engine.finishLoading();
            });
            return code;
        },
            done);
    }

    void arm(const Epoch& epoch, std::uint64_t step, MapVersion version, std::function<void(ResultCode)> done) override
    {
        EngineProcess& process = process_;
        call([&process, epoch, step, version] { return process.engine.arm(epoch, step, version); }, done);
    }

    void release(const Epoch& epoch, MapVersion version, std::function<void(ResultCode)> done) override
    {
        EngineProcess& process = process_;
        call([&process, epoch, version] { return process.engine.release(epoch, version); }, done);
    }

    void refuse(const Epoch& epoch, std::function<void(ResultCode)> done) override
    {
        EngineProcess& process = process_;
        call([&process, epoch] { return process.engine.refuse(epoch); }, done);
    }

    void state(std::function<void(ResultCode, const MapEngineState&)> done) override
    {
        EngineProcess& process = process_;
        simulation_.schedule(milliseconds(1), [&process, done] {
            done(process.isAlive ? ResultCode::Ok : ResultCode::ConnectionFailed, process.engine.state());
        });
    }

private:
    void call(const std::function<ResultCode()>& operation, const std::function<void(ResultCode)>& done)
    {
        EngineProcess& process = process_;
        if (simulation_.chance(simulation_.delayedResponsePercent_)) {
            // The order times out and is carried out later, unless the engine restarts before.
            std::uint64_t incarnation = process.incarnation;
            simulation_.schedule(milliseconds(simulation_.random_.index(500)), [&process, operation, incarnation] {
                if (process.isAlive && process.incarnation == incarnation)
                    operation();
            });
            simulation_.schedule(milliseconds(50), [done] { done(ResultCode::ConnectionFailed); });
            return;
        }
        simulation_.schedule(simulation_.shortDelay(), [&process, operation, done] {
            done(process.isAlive ? operation() : ResultCode::ConnectionFailed);
        });
    }

    MapSwitchSimulation& simulation_;
    EngineProcess& process_;
};

struct MapSwitchSimulation::AgentProcess {
    std::unique_ptr<EngineLink> link;
    std::unique_ptr<MapAgent> agent;
};

struct MapSwitchSimulation::ControllerProcess {
    std::unique_ptr<MapController> controller;
    bool isPaused { false };
    // Messages that arrive during a pause and are handled after it.
    std::vector<std::function<void()>> inbox;
    std::uint64_t incarnation { 0 };
};

MapSwitchSimulation::MapSwitchSimulation(std::uint64_t seed, std::size_t engineCount)
    : random_(seed)
    , stepMargin_(1 + random_.index(30))
    , lastStepTime_(clock_.now())
{
    for (std::size_t index = 0; index < engineCount; ++index) {
        members_.push_back("agent" + std::to_string(index));
        engines_.push_back(std::make_unique<EngineProcess>(index % 2 == 0));
        agents_.push_back(std::make_unique<AgentProcess>());
    }
    for (std::size_t index = 0; index < engineCount; ++index)
        startAgent(index);
    for (std::size_t index = 0; index < controllerCount; ++index) {
        controllers_.push_back(std::make_unique<ControllerProcess>());
        startController(index);
    }
    requestMap();
    waitUntilSettled("a new group");
}

MapSwitchSimulation::~MapSwitchSimulation() = default;

void MapSwitchSimulation::startAgent(std::size_t index)
{
    AgentProcess& process = *agents_[index];
    process.agent.reset();
    process.link = std::make_unique<EngineLink>(*this, *engines_[index]);
    MapAgentHooks hooks;
    hooks.sendResult = [this](const std::string& controller, const MapOrderResultMessage& message) { sendToController(controller, message); };
    hooks.sendVoteRequest = [this](const std::string& agent, const VoteRequestMessage& message) { sendToAgent(agent, message, decodeVoteRequest); };
    hooks.sendVoteResponse = [this](const std::string& agent, const VoteResponseMessage& message) { sendToAgent(agent, message, decodeVoteResponse); };
    process.agent = std::make_unique<MapAgent>(MapAgentSettings { members_[index], groupName, members_ }, clock_, *this, *process.link, hooks);
}

void MapSwitchSimulation::startController(std::size_t index)
{
    ControllerProcess& process = *controllers_[index];
    if (process.controller)
        addCounters(process);
    process.controller.reset();
    process.inbox.clear();
    process.isPaused = false;
    ++process.incarnation;
    MapControllerSettings settings;
    settings.name = "entry" + std::to_string(index);
    settings.group = groupName;
    settings.members = members_;
    // Short, so that a test case covers many leases.
    settings.leaseDuration = milliseconds(1000);
    settings.stepMargin = stepMargin_;
    process.controller = std::make_unique<MapController>(settings, clock_, *this, random_,
        [this](const std::string& agent, const MapOrderMessage& message) { sendToAgent(agent, message, decodeMapOrder); });
}

template <typename Message, typename Decode>
void MapSwitchSimulation::sendToAgent(const std::string& name, const Message& message, Decode decode)
{
    std::size_t index = std::find(members_.begin(), members_.end(), name) - members_.begin();
    Bytes body = encodeMessage(message, 0).body;
    deliver([this, index, body, decode] {
        if (agents_[index]->agent)
            agents_[index]->agent->receive(decode(body));
    });
}

void MapSwitchSimulation::sendToController(const std::string& name, const MapOrderResultMessage& message)
{
    ControllerProcess& process = *controllers_[name.back() - '0'];
    Bytes body = encodeMessage(message, 0).body;
    deliver([&process, body] {
        std::function<void()> receive = [&process, body] { process.controller->receive(decodeMapOrderResult(body)); };
        if (process.isPaused)
            process.inbox.push_back(receive);
        else
            receive();
    });
}

void MapSwitchSimulation::schedule(milliseconds delay, std::function<void()> action)
{
    events_.push({ clock_.now() + delay, ++eventNumber_, std::move(action) });
}

milliseconds MapSwitchSimulation::shortDelay()
{
    return milliseconds(1 + random_.index(5));
}

bool MapSwitchSimulation::chance(unsigned percent)
{
    return percent != 0 && random_.index(100) < percent;
}

void MapSwitchSimulation::deliver(const std::function<void()>& action)
{
    unsigned copies = chance(duplicatePercent_) ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        if (chance(lossPercent_))
            continue;
        milliseconds delay = shortDelay();
        if (chance(delayPercent_))
            delay += milliseconds(random_.index(6000));
        schedule(delay, action);
    }
}

void MapSwitchSimulation::read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done)
{
    schedule(shortDelay(), [this, keys, done] {
        TableReadResult result = isTableDown_ ? TableReadResult() : rows_.read(keys);
        schedule(shortDelay(), [done, result] { done(result); });
    });
}

void MapSwitchSimulation::scan(const std::string& prefix, std::function<void(const TableReadResult&)> done)
{
    schedule(shortDelay(), [this, prefix, done] { done(isTableDown_ ? TableReadResult() : rows_.scan(prefix)); });
}

void MapSwitchSimulation::write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done)
{
    schedule(shortDelay(), [this, writes, done] {
        if (!isTableDown_ && lostAcknowledgements_ == 0) {
            TableWriteResult result = rows_.write(writes);
            schedule(shortDelay(), [done, result] { done(result); });
            return;
        }
        if (!isTableDown_) {
            --lostAcknowledgements_;
            // The write is applied now, or after the failure has been reported to the caller.
            if (chance(50))
                rows_.write(writes);
            else
                schedule(milliseconds(random_.index(1000)), [this, writes] { rows_.write(writes); });
        }
        schedule(shortDelay(), [done] { done({}); });
    });
}

GroupRow MapSwitchSimulation::row() const
{
    TableReadResult result = rows_.read({ groupRowKey(groupName) });
    return result.rows.empty() ? GroupRow() : decodeGroupRow(result.rows.front().value);
}

void MapSwitchSimulation::advance(milliseconds duration)
{
    for (milliseconds passed { 0 }; passed < duration; passed += tickInterval) {
        TimePoint end = clock_.now() + tickInterval;
        while (!events_.empty() && events_.top().time <= end) {
            Event event = events_.top();
            events_.pop();
            if (event.time > clock_.now())
                clock_.advance(event.time - clock_.now());
            event.action();
        }
        clock_.advance(end - clock_.now());
        for (const std::unique_ptr<AgentProcess>& process : agents_) {
            if (process->agent)
                process->agent->tick();
        }
        for (const std::unique_ptr<ControllerProcess>& process : controllers_) {
            if (!process->isPaused)
                process->controller->tick();
        }
        stepGroup();
    }
}

void MapSwitchSimulation::stepGroup()
{
    longestStepGap_ = std::max(longestStepGap_, clock_.now() - lastStepTime_);
    for (const std::unique_ptr<EngineProcess>& process : engines_) {
        if (!process->isAlive || clock_.now() < process->stalledUntil || !process->engine.isReadyFor(step_ + 1))
            return;
    }
    ++step_;
    ++totals_.steps;
    lastStepTime_ = clock_.now();
    std::vector<MapVersion> versions;
    for (const std::unique_ptr<EngineProcess>& process : engines_)
        versions.insert(versions.end(), ranksPerEngine, process->engine.execute(step_));
    for (MapVersion version : versions) {
        if (version != versions.front())
            throw std::runtime_error("step " + std::to_string(step_) + " was executed with the maps " + std::to_string(versions.front()) + " and " + std::to_string(version));
    }
    if (versions.front() < usedVersion_)
        throw std::runtime_error("step " + std::to_string(step_) + " went back from map " + std::to_string(usedVersion_) + " to " + std::to_string(versions.front()));
    usedVersion_ = versions.front();
}

void MapSwitchSimulation::requestMap()
{
    std::string map = "map" + std::to_string(++requestedMaps_);
    for (const std::unique_ptr<ControllerProcess>& process : controllers_)
        process->controller->request(map);
}

void MapSwitchSimulation::killEngine(std::size_t index)
{
    engines_[index]->isAlive = false;
    ++engines_[index]->incarnation;
    engines_[index]->engine.restart();
}

void MapSwitchSimulation::resumeController(std::size_t index)
{
    ControllerProcess& process = *controllers_[index];
    if (!process.isPaused)
        return;
    process.isPaused = false;
    std::vector<std::function<void()>> inbox;
    inbox.swap(process.inbox);
    for (const std::function<void()>& receive : inbox)
        receive();
    process.controller->tick();
}

void MapSwitchSimulation::run(const Action& action)
{
    ++totals_.actions;
    // Only a quarter of the actions follow without a delay, so that simultaneous faults are the exception.
    advance(milliseconds(action.amount % 4 == 0 ? 0 : action.amount % 200));
    std::size_t engine = action.targetIndex % engines_.size();
    std::size_t controller = action.targetIndex % controllers_.size();
    switch (action.kind) {
    case ActionKind::Wait:
        // After a short wait, a change can still be in progress; after a long one, leases can have expired.
        advance(milliseconds(action.targetIndex % 2 == 0 ? 10 + action.amount % 400 : action.amount % 5000));
        return;
    case ActionKind::RequestMap:
        requestMap();
        advance(milliseconds(action.amount % 800));
        return;
    case ActionKind::KillAgent:
        agents_[engine]->agent.reset();
        return;
    case ActionKind::StartAgent:
        startAgent(engine);
        return;
    case ActionKind::KillEngine:
        killEngine(engine);
        return;
    case ActionKind::StartEngine:
        engines_[engine]->isAlive = true;
        return;
    case ActionKind::RestartEngineAndAgent:
        killEngine(engine);
        engines_[engine]->isAlive = action.amount % 2 == 0;
        startAgent(engine);
        return;
    case ActionKind::StallEngine:
        engines_[engine]->stalledUntil = clock_.now() + milliseconds(action.amount % 4000);
        return;
    case ActionKind::PauseController:
        controllers_[controller]->isPaused = true;
        return;
    case ActionKind::ResumeController:
        resumeController(controller);
        return;
    case ActionKind::RestartController:
        startController(controller);
        return;
    case ActionKind::TableDown:
        isTableDown_ = true;
        return;
    case ActionKind::TableUp:
        isTableDown_ = false;
        return;
    case ActionKind::LoseAcknowledgements:
        lostAcknowledgements_ = action.amount % 4;
        return;
    case ActionKind::LoseMessages:
        lossPercent_ = action.amount % 60;
        return;
    case ActionKind::DelayMessages:
        delayPercent_ = action.amount % 60;
        return;
    case ActionKind::DuplicateMessages:
        duplicatePercent_ = action.amount % 60;
        return;
    case ActionKind::LoadSlowly:
        loadTime_ = milliseconds(action.amount % 5000);
        return;
    case ActionKind::DelayEngineResponses:
        delayedResponsePercent_ = action.amount % 40;
        return;
    case ActionKind::RestartAll:
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            killEngine(index);
            engines_[index]->isAlive = true;
            if (action.amount % 2 == 0)
                startAgent(index);
        }
        return;
    case ActionKind::ClearFaults:
        clearFaultsExceptTable();
        isTableDown_ = false;
        advance(milliseconds(action.amount % 4000));
        return;
    case ActionKind::IsolatedTableOutage:
        checkIsolatedTableOutage(milliseconds(action.amount % 1500));
        return;
    }
}

void MapSwitchSimulation::clearFaultsExceptTable()
{
    lossPercent_ = 0;
    delayPercent_ = 0;
    duplicatePercent_ = 0;
    delayedResponsePercent_ = 0;
    loadTime_ = milliseconds(30);
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        engines_[index]->isAlive = true;
        engines_[index]->stalledUntil = clock_.now();
        if (!agents_[index]->agent)
            startAgent(index);
    }
    for (std::size_t index = 0; index < controllers_.size(); ++index)
        resumeController(index);
}

bool MapSwitchSimulation::isSettled()
{
    if (row().target != noMap || row().inForce != usedVersion_)
        return false;
    return std::none_of(engines_.begin(), engines_.end(), [](const std::unique_ptr<EngineProcess>& process) { return process->engine.state().armed.has_value(); });
}

void MapSwitchSimulation::waitUntilSettled(const char* what)
{
    // The limit leaves ample time for leases to expire, a change to be given up, and recoveries.
    for (int elapsedSeconds = 0; elapsedSeconds < 120; ++elapsedSeconds) {
        std::uint64_t before = step_;
        advance(milliseconds(1000));
        if (step_ > before + 50 && isSettled())
            return;
    }
    throw std::runtime_error(std::string(what) + " doesn't settle: step " + std::to_string(step_) + ", target " + std::to_string(row().target));
}

void MapSwitchSimulation::clearFaultsAndCheck()
{
    clearFaultsExceptTable();
    isTableDown_ = false;
    lostAcknowledgements_ = 0;
    waitUntilSettled("the group after all faults have ended");
    MapVersion before = usedVersion_;
    // One attempt may fail while the step margin adapts.
    for (int elapsedSeconds = 0; elapsedSeconds < 60 && usedVersion_ == before; ++elapsedSeconds) {
        if (elapsedSeconds % 5 == 0)
            requestMap();
        advance(milliseconds(1000));
    }
    if (usedVersion_ == before)
        throw std::runtime_error("the group does not switch to a new map after all faults have ended");
}

void MapSwitchSimulation::checkIsolatedTableOutage(milliseconds before)
{
    clearFaultsExceptTable();
    isTableDown_ = false;
    lostAcknowledgements_ = 0;
    waitUntilSettled("the group before a table outage");
    // Waits until messages that were delayed by an earlier fault have arrived. They are not part of a table
    // outage.
    advance(milliseconds(7000));
    waitUntilSettled("the group before a table outage");
    requestMap();
    advance(before);
    isTableDown_ = true;
    longestStepGap_ = Duration(0);
    advance(milliseconds(8000));
    isTableDown_ = false;
    advance(milliseconds(2000));
    // After the delay, the agents need one round of vote requests and responses.
    if (longestStepGap_ > voteRequestDelay + milliseconds(100))
        throw std::runtime_error("a table outage stopped the group for " + std::to_string(std::chrono::duration_cast<milliseconds>(longestStepGap_).count()) + " ms");
}

void MapSwitchSimulation::addCounters(const ControllerProcess& controller)
{
    const MapControllerCounters& counters = controller.controller->counters();
    totals_.switches += counters.switches;
    totals_.aborts += counters.aborts;
    totals_.recoveries += counters.recoveries;
    totals_.leases += counters.leases;
}

void MapSwitchSimulation::addTotals(MapSwitchTotals& totals) const
{
    MapSwitchTotals sum = totals_;
    for (const std::unique_ptr<ControllerProcess>& process : controllers_) {
        const MapControllerCounters& counters = process->controller->counters();
        sum.switches += counters.switches;
        sum.aborts += counters.aborts;
        sum.recoveries += counters.recoveries;
        sum.leases += counters.leases;
    }
    ++totals.cases;
    totals.steps += sum.steps;
    totals.switches += sum.switches;
    totals.aborts += sum.aborts;
    totals.recoveries += sum.recoveries;
    totals.leases += sum.leases;
    totals.actions += sum.actions;
}

}
