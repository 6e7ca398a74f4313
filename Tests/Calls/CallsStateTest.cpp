#include "CallsSimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>

namespace Damaskgrade {

namespace {

// Empty, because every command is allowed in every state.
struct Model {
};

enum class Action {
    SendCompletion,
    SendLookup,
    SendBooking,
    MoveCaller,
    DisconnectCaller,
    KillEntry,
    PauseEntry,
    StartEntry,
    KillAgent,
    PauseAgent,
    StartAgent,
    KillEngine,
    PauseEngine,
    StartEngine,
    DrainAgent,
    CloseLink,
    SetTable,
    SetNetwork,
    Advance,
};

constexpr const char* actionNames[] = { "SendCompletion", "SendLookup", "SendBooking", "MoveCaller", "DisconnectCaller",
    "KillEntry", "PauseEntry", "StartEntry", "KillAgent", "PauseAgent", "StartAgent", "KillEngine", "PauseEngine",
    "StartEngine", "DrainAgent", "CloseLink", "SetTable", "SetNetwork", "Advance" };

struct Step : rc::state::Command<Model, CallsSimulation> {
    Step()
        : action(*rc::gen::weightedElement<Action>({ { 6, Action::SendCompletion }, { 4, Action::SendLookup }, { 10, Action::SendBooking },
            { 4, Action::MoveCaller }, { 1, Action::DisconnectCaller }, { 2, Action::KillEntry }, { 3, Action::PauseEntry }, { 6, Action::StartEntry },
            { 2, Action::KillAgent }, { 3, Action::PauseAgent }, { 6, Action::StartAgent }, { 1, Action::KillEngine }, { 1, Action::PauseEngine },
            { 4, Action::StartEngine }, { 1, Action::DrainAgent }, { 3, Action::CloseLink }, { 4, Action::SetTable }, { 3, Action::SetNetwork }, { 24, Action::Advance } }))
        , first(*rc::gen::inRange<std::size_t>(0, 60))
        , second(*rc::gen::inRange<std::size_t>(0, 60))
    {
    }

    void run(const Model&, CallsSimulation& simulation) const override
    {
        apply(simulation);
        std::string found = simulation.check();
        if (!found.empty())
            RC_FAIL(found);
    }

    void apply(CallsSimulation& simulation) const
    {
        std::size_t entry = first % CallsSimulation::entryCount;
        std::size_t agent = second % CallsSimulation::agentCount;
        static constexpr int steps[] = { 3, 8, 20, 50, 120, 300, 700, 1500 };
        switch (action) {
        case Action::SendCompletion:
            simulation.sendRequest(RequestKind::Completion, entry);
            break;
        case Action::SendLookup:
            simulation.sendRequest(RequestKind::Lookup, entry);
            break;
        case Action::SendBooking:
            simulation.sendRequest(RequestKind::Booking, entry, second % 6, second >= 54);
            break;
        case Action::MoveCaller:
            if (simulation.requestCount())
                simulation.moveCaller(simulation.requestCount() - 1 - second % simulation.requestCount(), entry);
            break;
        case Action::DisconnectCaller:
            if (simulation.requestCount())
                simulation.disconnectCaller(simulation.requestCount() - 1 - second % simulation.requestCount());
            break;
        case Action::KillEntry:
            simulation.killEntry(entry);
            break;
        case Action::PauseEntry:
            simulation.pauseEntry(entry);
            break;
        case Action::StartEntry:
            simulation.startEntry(entry);
            break;
        case Action::KillAgent:
            simulation.killAgent(agent);
            break;
        case Action::PauseAgent:
            simulation.pauseAgent(agent);
            break;
        case Action::StartAgent:
            simulation.startAgent(agent);
            break;
        case Action::KillEngine:
            simulation.killEngine(agent);
            break;
        case Action::PauseEngine:
            simulation.pauseEngine(agent);
            break;
        case Action::StartEngine:
            simulation.startEngine(agent);
            break;
        case Action::DrainAgent:
            simulation.drainAgent(agent);
            break;
        case Action::CloseLink:
            simulation.closeLink(entry, agent);
            break;
        case Action::SetTable:
            simulation.setTable(static_cast<TableMode>(first % 4));
            break;
        case Action::SetNetwork:
            simulation.setNetwork(static_cast<double>(first % 4) * 0.15, 2 + static_cast<int>(second * second / 8));
            break;
        case Action::Advance:
            simulation.advance(steps[first % 8]);
            break;
        }
    }

    void show(std::ostream& out) const override
    {
        out << actionNames[static_cast<int>(action)] << "(" << first << ", " << second << ")";
    }

    Action action;
    std::size_t first;
    std::size_t second;
};

// rapidcheck runs 100 cases by default, which is too few to reach the code that guards against each fault.
constexpr int simulationsPerCase = 20;

void printCounters()
{
    const CallsSimulationCounters& counters = CallsSimulation::counters();
    std::uint64_t outcomeCount = 0;
    for (const auto& entry : counters.outcomes)
        outcomeCount += entry.second;
    std::cout << "calls: " << counters.simulations << " cases, " << counters.requests << " requests, " << counters.movedCallers << " moved callers, "
              << counters.sends << " sends, " << counters.executions << " executions, " << outcomeCount << " outcomes, "
              << (outcomeCount ? 100 * counters.executedUnknown / outcomeCount : 0) << "% unknown\n";
    for (const auto& entry : counters.outcomes)
        std::cout << "  " << entry.first << ": " << entry.second << "\n";
}

}

// Guards against violations of the call guarantees (requirements R10 to R14) under combined faults: two executions of
// one key, an executed call that is reported as not executed, text of another call, missing text, new calls at a
// draining agent, and calls without an outcome.
TEST_CASE("calls keep their guarantees under faults")
{
    bool holds = rc::check("calls keep their guarantees under faults", [] {
        for (int number = 0; number < simulationsPerCase; ++number) {
            CallsSimulation simulation(*rc::gen::arbitrary<std::uint64_t>());
            // Uses more steps than by default, so that several faults occur in one case.
            rc::state::Commands<rc::state::Command<Model, CallsSimulation>> steps
                = *rc::gen::scale(2, rc::state::gen::commands(Model(), rc::state::gen::execOneOfWithArgs<Step>()));
            rc::state::runAll(steps, Model(), simulation);
            std::string found = simulation.recoverAndCheck();
            if (!found.empty())
                RC_FAIL(found);
        }
    });
    CHECK(holds);
    printCounters();
    // Ensures that the cases executed enough calls for the check to be meaningful.
    CHECK(CallsSimulation::counters().executions > CallsSimulation::counters().simulations);
}

}
