#include "MapSwitch/World.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdio>

namespace Damaskgrade {

namespace {

// The oracle is in World and needs no model.
struct NoModel { };

class ActionCommand : public rc::state::Command<NoModel, World> {
public:
    ActionCommand()
        : action_ { static_cast<ActionKind>(*rc::gen::inRange(0, actionKindCount)), *rc::gen::inRange(0U, 64U), *rc::gen::inRange(0U, 6000U) }
    {
        // Without time between the faults, nothing would happen.
        int share = *rc::gen::inRange(0, 10);
        if (share < 4)
            action_.kind = ActionKind::Wait;
        else if (share < 6)
            action_.kind = ActionKind::RequestMap;
    }

    void run(const NoModel&, World& world) const override { world.run(action_); }
    void show(std::ostream& stream) const override { stream << describe(action_); }

private:
    Action action_;
};

}

// Guards against ranks that use different maps in one step, a map that goes back, a group that
// stays stopped, and a table outage that stops a group.
TEST_CASE("all ranks use one map in every step under random faults")
{
    WorldTotals totals;
    bool isPassed = rc::check("one map in every step", [&totals] {
        std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        NoModel model;
        std::vector<std::shared_ptr<const rc::state::Command<NoModel, World>>> commands = *rc::state::gen::commands(model, [](const NoModel&) {
            return rc::gen::exec([] { return std::static_pointer_cast<const rc::state::Command<NoModel, World>>(std::make_shared<const ActionCommand>()); });
        });
        World world(seed);
        rc::state::runAll(commands, model, world);
        world.healAndCheck();
        world.addTotals(totals);
    });
    std::printf("MapSwitch: %llu cases, %llu actions, %llu steps, %llu leases, %llu switches, %llu aborts, %llu recoveries\n",
        static_cast<unsigned long long>(totals.cases), static_cast<unsigned long long>(totals.actions),
        static_cast<unsigned long long>(totals.steps), static_cast<unsigned long long>(totals.leases),
        static_cast<unsigned long long>(totals.switches), static_cast<unsigned long long>(totals.aborts),
        static_cast<unsigned long long>(totals.recoveries));
    CHECK(isPassed);
    // A run without these tests nothing.
    CHECK(totals.switches > 0);
    CHECK(totals.aborts > 0);
    CHECK(totals.recoveries > totals.cases);
}

}
