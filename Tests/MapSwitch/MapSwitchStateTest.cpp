#include "MapSwitch/MapSwitchSimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>

namespace Damaskgrade {

namespace {

// The events that a property generates. With fewer kinds, each combination occurs more often.
struct FaultProfile {
    const char* name;
    // The fault kinds to generate; all kinds if empty.
    std::vector<ActionKind> kinds;
    // Limits waits, so that the next event occurs while a change is in progress.
    unsigned maxWaitMs;
};

const FaultProfile anyFault { "any fault", {}, 5000 };

const FaultProfile messageFaults { "message faults during switches",
    { ActionKind::LoseMessages, ActionKind::DelayMessages, ActionKind::DuplicateMessages, ActionKind::StartAgent, ActionKind::StallEngine,
        ActionKind::PauseController, ActionKind::ResumeController, ActionKind::RestartController, ActionKind::DelayEngineResponses, ActionKind::LoseAcknowledgements },
    1200 };

const FaultProfile restarts { "restarts during switches",
    { ActionKind::RestartEngineAndAgent, ActionKind::RestartEngineAndAgent, ActionKind::RestartEngineAndAgent, ActionKind::RestartAll,
        ActionKind::StartEngine, ActionKind::StartEngine, ActionKind::RestartController, ActionKind::LoseMessages, ActionKind::DelayMessages, ActionKind::StartAgent },
    2000 };

Action makeAction(const FaultProfile& profile)
{
    Action action { ActionKind::Wait, *rc::gen::inRange(0U, 64U), *rc::gen::inRange(0U, 6000U) };
    int share = *rc::gen::inRange(0, 10);
    // Most actions are waits and map requests, so that changes are in progress when a fault occurs.
    if (share < 4) {
        action.amount %= profile.maxWaitMs;
        return action;
    }
    if (share < 6)
        action.kind = ActionKind::RequestMap;
    else if (profile.kinds.empty())
        action.kind = static_cast<ActionKind>(*rc::gen::inRange(0, actionKindCount));
    else
        action.kind = profile.kinds[*rc::gen::inRange<std::size_t>(0, profile.kinds.size())];
    return action;
}

// MapSwitchSimulation checks the guarantees itself, so the property needs no model.
struct NoModel { };

using MapSwitchCommand = rc::state::Command<NoModel, MapSwitchSimulation>;

class ActionCommand : public MapSwitchCommand {
public:
    explicit ActionCommand(const FaultProfile& profile)
        : action_(makeAction(profile))
    {
    }

    void run(const NoModel&, MapSwitchSimulation& simulation) const override { simulation.run(action_); }
    void show(std::ostream& stream) const override { stream << describe(action_); }

private:
    Action action_;
};

void checkProfile(const FaultProfile& profile)
{
    MapSwitchTotals totals;
    bool isPassed = rc::check(profile.name, [&totals, &profile] {
        std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        NoModel model;
        std::vector<std::shared_ptr<const MapSwitchCommand>> commands = *rc::state::gen::commands(model, [&profile](const NoModel&) {
            return rc::gen::exec([&profile] { return std::static_pointer_cast<const MapSwitchCommand>(std::make_shared<const ActionCommand>(profile)); });
        });
        MapSwitchSimulation simulation(seed);
        rc::state::runAll(commands, model, simulation);
        simulation.clearFaultsAndCheck();
        simulation.addTotals(totals);
    });
    std::printf("MapSwitch, %s: %llu cases, %llu actions, %llu steps, %llu leases, %llu switches, %llu aborts, %llu recoveries\n", profile.name,
        static_cast<unsigned long long>(totals.cases), static_cast<unsigned long long>(totals.actions),
        static_cast<unsigned long long>(totals.steps), static_cast<unsigned long long>(totals.leases),
        static_cast<unsigned long long>(totals.switches), static_cast<unsigned long long>(totals.aborts),
        static_cast<unsigned long long>(totals.recoveries));
    CHECK(isPassed);
    // Without these events, the run would not have tested map switches. Each group starts with a recovery.
    CHECK(totals.switches > 0);
    CHECK(totals.aborts > 0);
    CHECK(totals.recoveries >= totals.cases);
}

}

// The following tests guard against ranks that use different maps in the same step, a return to an older
// map, a group that remains stopped, and a table outage that stops a group.
TEST_CASE("all ranks use one map in every step under any fault")
{
    checkProfile(anyFault);
}

TEST_CASE("all ranks use one map in every step when messages are late or lost")
{
    checkProfile(messageFaults);
}

TEST_CASE("all ranks use one map in every step when engines restart during a switch")
{
    checkProfile(restarts);
}

}
