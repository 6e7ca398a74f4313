#include "RankMaps/SwitchController.h"

#include "Core/ManualClock.h"
#include "Core/Random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::uint32_t rankCount = 4;

struct DelayedOrder {
    std::uint32_t rank { 0 };
    RankOrder order;
    TimePoint dueAt;
};

// Model of a lock-step group that follows the published rules for orders and executes some orders late. It is
// independent of the controllers, and counts the passes that begin with two maps.
class GroupModel {
public:
    GroupModel(const ManualClock& clock, Random& random)
        : clock_(clock)
        , random_(random)
        , ranks_(rankCount)
    {
    }

    RankOrderResult deliverOrder(std::uint32_t rank, const RankOrder& order)
    {
        if (order.kind == RankOrderKind::Arm && order.epoch == epoch_)
            ranks_[rank].highestArmOrderPass = std::max(ranks_[rank].highestArmOrderPass, order.pass);
        if (random_.fraction() < lateShare) {
            lateOrders_.push_back({ rank, order, clock_.now() + std::chrono::milliseconds(2000 + random_.index(10000)) });
            return RankOrderResult::Unknown;
        }
        return execute(rank, order);
    }

    void executeLateOrders()
    {
        for (std::size_t i = 0; i < lateOrders_.size();) {
            if (lateOrders_[i].dueAt > clock_.now()) {
                ++i;
                continue;
            }
            DelayedOrder due = lateOrders_[i];
            lateOrders_.erase(lateOrders_.begin() + static_cast<std::ptrdiff_t>(i));
            execute(due.rank, due.order);
        }
    }

    // Begins the next pass unless a rank holds it.
    void beginPass()
    {
        if (isBroken)
            return;
        std::uint64_t next = pass_ + 1;
        for (const Rank& rank : ranks_) {
            if (rank.held == next)
                return;
        }
        pass_ = next;
        for (Rank& rank : ranks_) {
            if (rank.armed && rank.armed->pass == pass_) {
                rank.map = rank.armed->version;
                rank.armed.reset();
            }
        }
        bool isMixed = std::any_of(ranks_.begin(), ranks_.end(), [this](const Rank& rank) { return rank.map != ranks_.front().map; });
        mixedPasses += isMixed ? 1 : 0;
    }

    // Starts a new epoch, as a group restart does.
    void restartGroup()
    {
        ++epoch_;
        for (Rank& rank : ranks_) {
            RankMapVersion highest = rank.highest;
            rank = Rank();
            rank.highest = highest;
        }
    }

    RankReport report(std::uint32_t number) const
    {
        const Rank& rank = ranks_[number];
        RankReport report;
        report.group = "g";
        report.rank = number;
        report.groupSize = rankCount;
        report.epoch = epoch_;
        report.isOpen = !isBroken;
        report.pass = pass_;
        report.mapVersion = rank.map;
        report.prepared = rank.prepared;
        report.armed = rank.armed;
        report.heldPass = rank.held;
        report.highestArmOrderPass = rank.highestArmOrderPass;
        return report;
    }

    bool isHeld() const
    {
        return std::any_of(ranks_.begin(), ranks_.end(), [this](const Rank& rank) { return rank.held == pass_ + 1; });
    }

    // Returns whether a later pass is held by another rank than this one, while no rank is armed and no order to arm one for
    // a later pass was sent.
    bool isHeldUnarmed(std::uint32_t exceptRank) const
    {
        if (ranks_[exceptRank].held.value_or(0) > pass_)
            return false;
        bool isHeld = std::any_of(ranks_.begin(), ranks_.end(), [this](const Rank& rank) { return rank.held.value_or(0) > pass_; });
        return isHeld && std::none_of(ranks_.begin(), ranks_.end(), [this](const Rank& rank) { return rank.armed || rank.highestArmOrderPass > pass_; });
    }

    std::uint64_t pass() const { return pass_; }

    double lateShare { 0 };
    // A rank is gone: the group makes no passes and refuses holds.
    bool isBroken { false };
    // The group refuses holds although it makes passes.
    bool refusesHolds { false };
    std::uint32_t mixedPasses { 0 };

private:
    struct Rank {
        RankMapVersion map { 0 };
        RankMapVersion highest { 0 };
        std::uint64_t token { 0 };
        std::optional<RankMapVersion> prepared;
        std::optional<ArmedMap> armed;
        std::optional<std::uint64_t> held;
        // State of the agent of the rank.
        std::uint64_t highestArmOrderPass { 0 };
    };

    RankOrderResult execute(std::uint32_t number, const RankOrder& order)
    {
        Rank& rank = ranks_[number];
        if (order.epoch != epoch_)
            return RankOrderResult::Refused;
        if (order.fencingToken < rank.token)
            return RankOrderResult::Fenced;
        rank.token = order.fencingToken;
        switch (order.kind) {
        case RankOrderKind::Prepare:
            if (order.version <= rank.highest || rank.armed)
                return RankOrderResult::Refused;
            rank.highest = order.version;
            rank.prepared = order.version;
            return RankOrderResult::Accepted;
        case RankOrderKind::Arm:
            if (rank.prepared != order.version || order.pass <= pass_)
                return RankOrderResult::Refused;
            rank.armed = ArmedMap { order.version, order.pass };
            return RankOrderResult::Accepted;
        case RankOrderKind::Hold:
            if (isBroken || refusesHolds || order.pass <= pass_ || (rank.held && *rank.held > pass_ && *rank.held != order.pass))
                return RankOrderResult::Refused;
            rank.held = order.pass;
            return RankOrderResult::Accepted;
        case RankOrderKind::Go:
            if (rank.held != order.pass)
                return RankOrderResult::Refused;
            rank.held.reset();
            return RankOrderResult::Accepted;
        case RankOrderKind::Disarm:
            if (rank.map == order.version)
                return RankOrderResult::Refused;
            if (rank.armed && rank.armed->version == order.version)
                rank.armed.reset();
            return RankOrderResult::Accepted;
        }
        return RankOrderResult::Refused;
    }

    const ManualClock& clock_;
    Random& random_;
    std::vector<Rank> ranks_;
    std::vector<DelayedOrder> lateOrders_;
    std::uint64_t epoch_ { 1 };
    std::uint64_t pass_ { 0 };
};

// Simulates the successive controllers of one group; a controller may be paused while the next one runs.
class ControlledGroupSimulation {
public:
    explicit ControlledGroupSimulation(std::uint64_t seed)
        : random(seed)
        , group(clock, random)
    {
        takeOver();
    }

    // Pauses the controller; a new one takes over.
    void pauseController()
    {
        pausedController = std::move(controller);
        takeOver();
    }

    // The paused controller resumes with the reports that it has, while the next controller waits for the last report.
    void resumeWithOldReports()
    {
        pausedController->tick();
        if (pausedController->canStart())
            pausedController->start(someMap());
        controller->observe(group.report(unresponsiveRank.value_or(0)));
        unresponsiveRank.reset();
        controller->tick();
    }

    // The paused controller resumes and receives new reports, until an engine refuses its fencing token.
    void resume()
    {
        for (std::uint32_t rank = 0; rank < rankCount && !isPausedControllerFenced; ++rank) {
            pausedController->observe(group.report(rank));
            pausedController->tick();
        }
        if (!isPausedControllerFenced && pausedController->canStart())
            pausedController->start(someMap());
    }

    void takeOver()
    {
        isPausedControllerFenced = false;
        std::uint64_t token = ++token_;
        localRank = static_cast<std::uint32_t>(random.index(rankCount));
        controller = std::make_unique<SwitchController>(
            clock, SwitchControllerSettings {}, localRank, [this, token](std::uint32_t rank, const RankOrder& order) { deliverOrder(token, rank, order); },
            [this]() -> std::optional<GroupMap> { return someMap(); },
            [](std::string_view, RankMapVersion, std::uint64_t) {});
        controller->setFencingToken(token);
    }

    // Runs ticks of 20 ms: reports arrive, orders are sent, and the group makes a pass every 40 ms, or as ticksPerPass says.
    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            clock.advance(std::chrono::milliseconds(20));
            group.executeLateOrders();
            if (++tick_ % ticksPerPass == 0 && !(unresponsiveRank && isGroupStalled))
                group.beginPass();
            for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
                if (random.fraction() < reportShare && unresponsiveRank != rank)
                    controller->observe(group.report(rank));
            }
            controller->tick();
            if (!group.isHeld())
                heldSince_ = clock.now();
            longestHold = std::max(longestHold, clock.now() - heldSince_);
        }
    }

    void deliverOrder(std::uint64_t token, std::uint32_t rank, const RankOrder& order)
    {
        if (order.kind == RankOrderKind::Hold && order.pass > group.pass())
            longestLead = std::max(longestLead, order.pass - group.pass());
        bool isLost = losesFirstOrders && lostFirstOrders_.insert({ rank, order.kind }).second;
        lostOrderCount += isLost ? 1 : 0;
        RankOrderResult result = isLost ? RankOrderResult::Unknown : group.deliverOrder(rank, order);
        if (token + 1 == token_ && result == RankOrderResult::Fenced)
            isPausedControllerFenced = true;
        if (token == token_ && controller)
            controller->handleOrderResult(rank, order.kind, order.version, order.pass, result);
    }

    GroupMap someMap() const { return GroupMap(1, std::vector<std::vector<std::uint32_t>>(rankCount, { 0 })); }

    ManualClock clock;
    Random random;
    GroupModel group;
    std::unique_ptr<SwitchController> controller;
    std::unique_ptr<SwitchController> pausedController;
    std::uint32_t localRank { 0 };
    bool isPausedControllerFenced { false };
    int ticksPerPass { 2 };
    // The machine of this rank is paused: its reports are missing, and the group makes no passes if isGroupStalled is set.
    std::optional<std::uint32_t> unresponsiveRank;
    bool isGroupStalled { true };
    double reportShare { 1 };
    Duration longestHold { 0 };
    // Passes between the selection of the pass of a switch and that pass.
    std::uint64_t longestLead { 0 };
    // The first order of each kind to each rank is lost: it has no effect and gets no response.
    bool losesFirstOrders { false };
    std::uint64_t lostOrderCount { 0 };

private:
    std::set<std::pair<std::uint32_t, RankOrderKind>> lostFirstOrders_;
    std::uint64_t token_ { 0 };
    int tick_ { 0 };
    TimePoint heldSince_ { clock.now() };
};

}

// Guards against a change that stalls the group or never ends although nothing fails.
TEST_CASE("a change reaches all ranks in one pass and holds the group for no longer than a pass")
{
    ControlledGroupSimulation simulation(1);
    simulation.run(10);
    REQUIRE(simulation.controller->canStart());
    simulation.controller->start(simulation.someMap());
    simulation.run(50);
    CHECK(simulation.controller->counters().completed == 1);
    CHECK(simulation.controller->canStart());
    CHECK(simulation.group.mixedPasses == 0);
    CHECK(simulation.longestHold <= std::chrono::milliseconds(60));
}

// Guards against an order to arm that is executed late and switches only one rank.
TEST_CASE("no pass begins with two maps while orders are executed late")
{
    std::uint64_t completed = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        ControlledGroupSimulation simulation(seed);
        simulation.group.lateShare = 0.4;
        simulation.reportShare = 0.6;
        for (int change = 0; change < 12; ++change) {
            simulation.run(60);
            if (simulation.controller->canStart())
                simulation.controller->start(simulation.someMap());
        }
        simulation.run(800);
        completed += simulation.controller->counters().completed;
        CHECK_MESSAGE(simulation.group.mixedPasses == 0, "seed " << seed);
        CHECK_MESSAGE(simulation.group.report(0).mapVersion == simulation.group.report(rankCount - 1).mapVersion, "seed " << seed);
    }
    CHECK(completed > 60);
}

// Guards against a group that stays held, or in which only some ranks switch, after its controller ended during a change.
TEST_CASE("the next controller completes the change of the previous one")
{
    for (std::uint64_t seed = 1; seed <= 80; ++seed) {
        ControlledGroupSimulation simulation(seed);
        simulation.group.lateShare = seed % 2 == 0 ? 0.3 : 0;
        for (int change = 0; change < 10; ++change) {
            simulation.run(20);
            if (simulation.controller->canStart())
                simulation.controller->start(simulation.someMap());
            simulation.run(static_cast<int>(simulation.random.index(16)));
            simulation.takeOver();
        }
        std::uint64_t before = simulation.group.pass();
        simulation.run(900);
        CHECK_MESSAGE(simulation.group.mixedPasses == 0, "seed " << seed);
        CHECK_MESSAGE(simulation.group.pass() > before + 300, "seed " << seed);
    }
}

// Guards against a group that is held permanently: a controller that resumes after a process pause sends orders at the
// same time as the next controller, so that some ranks are armed with a map that the other ranks have replaced.
TEST_CASE("a group is released after two controllers sent orders at the same time")
{
    std::uint64_t restored = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        ControlledGroupSimulation simulation(seed);
        simulation.group.lateShare = seed % 2 == 0 ? 0.4 : 0;
        for (int change = 0; change < 6; ++change) {
            simulation.run(40);
            if (simulation.controller->canStart())
                simulation.controller->start(simulation.someMap());
            simulation.run(static_cast<int>(simulation.random.index(40)));
            simulation.pauseController();
            simulation.unresponsiveRank = static_cast<std::uint32_t>(simulation.random.index(rankCount));
            simulation.run(130);
            simulation.resumeWithOldReports();
            for (int tick = 0; tick < 6; ++tick) {
                simulation.run(static_cast<int>(simulation.random.index(3)));
                simulation.resume();
            }
        }
        std::uint64_t before = simulation.group.pass();
        simulation.run(900);
        restored += simulation.controller->counters().restored;
        CHECK_MESSAGE(simulation.group.mixedPasses == 0, "seed " << seed);
        CHECK_MESSAGE(simulation.group.pass() > before + 300, "seed " << seed);
    }
    CHECK(restored > 0);
}

// Guards against a group that stays held as long as the machine of its previous controller is paused.
TEST_CASE("the next controller releases a pass although the previous one's rank does not respond, unless a rank may be armed")
{
    std::uint64_t released = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        ControlledGroupSimulation simulation(seed);
        simulation.group.lateShare = seed % 2 == 0 ? 0.3 : 0;
        for (int change = 0; change < 5; ++change) {
            simulation.run(60);
            if (simulation.controller->canStart())
                simulation.controller->start(simulation.someMap());
            simulation.run(static_cast<int>(simulation.random.index(20)));
            std::uint32_t lastRank = simulation.localRank;
            bool isHeldUnarmed = simulation.group.isHeldUnarmed(lastRank);
            simulation.pauseController();
            simulation.unresponsiveRank = lastRank;
            simulation.isGroupStalled = false;
            std::uint64_t before = simulation.group.pass();
            for (int tick = 0; tick < 60; ++tick) {
                simulation.run(1);
                simulation.controller->tickWithoutPredecessor();
            }
            // 60 ticks are 30 passes. Requiring half of them allows for orders that are lost several times.
            bool isReleased = simulation.group.pass() >= before + 15;
            CHECK_MESSAGE((isReleased || !isHeldUnarmed), "seed " << seed);
            released += isHeldUnarmed ? 1 : 0;
            simulation.unresponsiveRank.reset();
        }
        simulation.run(900);
        CHECK_MESSAGE(simulation.group.mixedPasses == 0, "seed " << seed);
        CHECK_MESSAGE(simulation.controller->canStart(), "seed " << seed);
    }
    CHECK(released > 10);
}

// Guards against orders of an old epoch that reach a group after its restart.
TEST_CASE("a group that restarts during a change keeps one map")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        ControlledGroupSimulation simulation(seed);
        simulation.group.lateShare = 0.3;
        // With few reports, the latest reports of some ranks are still from the old epoch.
        simulation.reportShare = 0.2;
        for (int change = 0; change < 10; ++change) {
            simulation.run(30);
            if (simulation.controller->canStart())
                simulation.controller->start(simulation.someMap());
            simulation.run(static_cast<int>(simulation.random.index(20)));
            simulation.group.restartGroup();
        }
        simulation.run(900);
        CHECK_MESSAGE(simulation.group.mixedPasses == 0, "seed " << seed);
        CHECK_MESSAGE(simulation.controller->canStart(), "seed " << seed);
    }
}
// Guards against a switch that is delayed by hundreds of passes because a broken group refused holds.
TEST_CASE("refused holds delay a switch by no more than the longest lead")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControlledGroupSimulation simulation(seed);
        simulation.run(10);
        REQUIRE(simulation.controller->canStart());
        simulation.controller->start(simulation.someMap());
        simulation.group.isBroken = true;
        simulation.run(150);
        simulation.group.isBroken = false;
        simulation.group.restartGroup();
        for (int change = 0; change < 3; ++change) {
            simulation.run(120);
            if (simulation.controller->canStart())
                simulation.controller->start(simulation.someMap());
        }
        simulation.run(200);
        CHECK_MESSAGE(simulation.longestLead <= SwitchControllerSettings().maxLeadPasses, "seed " << seed);
        CHECK_MESSAGE(simulation.controller->counters().completed >= 2, "seed " << seed);
    }
}

// Guards against a lead that grows to seconds while holds are refused for a reason other than a late arrival.
TEST_CASE("each refused hold adds a pass to the lead, up to a bound")
{
    SwitchControllerSettings settings;
    constexpr std::chrono::milliseconds passTime { 40 };
    std::uint64_t usual = static_cast<std::uint64_t>(settings.leadAfterLoss / passTime) + 1;
    ControlledGroupSimulation simulation(1);
    simulation.run(20);
    simulation.group.refusesHolds = true;
    simulation.controller->start(simulation.someMap());
    simulation.run(90);
    CHECK(simulation.longestLead <= usual + settings.maxExtraPasses);
    simulation.group.refusesHolds = false;
    simulation.run(60);
    CHECK(simulation.controller->counters().completed == 1);
}

// Guards against orders that are resent only after the resend delay although it is known that they got no response.
TEST_CASE("an order without a response is resent at once")
{
    ControlledGroupSimulation simulation(3);
    simulation.run(10);
    simulation.controller->start(simulation.someMap());
    simulation.losesFirstOrders = true;
    // Enough ticks for the lead after lost orders and a few rounds of orders and reports.
    simulation.run(40);
    CHECK(simulation.lostOrderCount > rankCount);
    CHECK(simulation.controller->counters().completed == 1);
}

// Guards against a change that waits for several passes of a loaded group, although its orders arrive within one.
TEST_CASE("a switch is at most two passes ahead if a pass takes longer than the orders")
{
    ControlledGroupSimulation simulation(1);
    simulation.ticksPerPass = 10;
    for (int change = 0; change < 4; ++change) {
        simulation.run(100);
        REQUIRE(simulation.controller->canStart());
        simulation.controller->start(simulation.someMap());
    }
    simulation.run(100);
    CHECK(simulation.controller->counters().completed == 4);
    CHECK(simulation.longestLead <= 2);
    CHECK(simulation.longestHold <= std::chrono::milliseconds(60));
}

}
