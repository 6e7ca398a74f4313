#include "RankMaps/RankAgent.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <fcntl.h>

#include <vector>

namespace Damaskgrade {

namespace {

// An engine that answers at once and remembers its orders.
class FakeEngine : public RankEngine {
public:
    void report(std::function<void(std::optional<RankReport>)> done) override { done(current); }
    void counts(std::function<void(std::optional<ExpertCounts>)> done) override { done(ExpertCounts { 1, chosen }); }
    void lists(std::function<void(std::optional<RankLists>)> done) override { done(RankLists { 0, { { 1 } } }); }
    void order(const RankOrder& order, std::function<void(RankOrderResult)> done) override
    {
        orders.push_back(order);
        done(RankOrderResult::Accepted);
    }

    RankReport current;
    std::vector<double> chosen { 10, 20 };
    std::vector<RankOrder> orders;
};

struct World {
    World() { engine.current.group = "g1"; }

    RankStatus ask(const std::string& group, std::uint64_t term, bool wantsCounts = false)
    {
        RankStatus result;
        RankQuestion question;
        question.group = group;
        question.term = term;
        question.controller = "c";
        question.wantsCounts = wantsCounts;
        agent.receive(question, [&result](const RankStatus& status) { result = status; });
        return result;
    }

    RankOrderResult give(const std::string& group, std::uint64_t term)
    {
        RankOrderResult result = RankOrderResult::Unknown;
        agent.receive(
            RankOrderMessage { group, term, "c", RankOrder() }, [&result](const RankOrderResultMessage& message) { result = message.result; }, [](const RankStatus&) {});
        return result;
    }

    ManualClock clock;
    FakeEngine engine;
    DecisionLog log { clock, ::open("/dev/null", O_WRONLY), "test" };
    RankAgent agent { clock, "a", { "127.0.0.1", 1 }, engine, log };
};

}

// Guards against a controller that was replaced while it was paused and goes on giving orders.
TEST_CASE("an agent gives its engine no order of a controller with a lower term")
{
    World world;
    CHECK(world.ask("g1", 5).term == 5);
    CHECK(world.give("g1", 4) == RankOrderResult::Fenced);
    CHECK(world.engine.orders.empty());
    CHECK(world.ask("g1", 4).term == 5);
    CHECK(!world.ask("g1", 4).report);
    CHECK(world.give("g1", 6) == RankOrderResult::Accepted);
    CHECK(world.engine.orders.size() == 1);
}

// Guards against groups of one service that disturb each other's controllers.
TEST_CASE("the controller of another group changes neither the term nor the engine")
{
    World world;
    world.ask("g1", 2);
    TimePoint heardAt = world.agent.heardAt();
    world.clock.advance(std::chrono::seconds(3));
    RankStatus status = world.ask("g2", 9);
    CHECK(status.report->group == "g1");
    CHECK(world.agent.term() == 2);
    CHECK(world.agent.heardAt() == heardAt);
    world.give("g2", 9);
    CHECK(world.engine.orders.empty());
}

// Guards against demand that is counted twice, or lost with a restart of the engine.
TEST_CASE("counts are the difference to the last answer, and begin anew with the engine")
{
    World world;
    CHECK(world.ask("g1", 1, true).counts.empty());
    world.engine.chosen = { 15, 40 };
    CHECK(world.ask("g1", 1, true).counts == std::vector<std::uint16_t> { 5, 20 });
    world.engine.chosen = { 3, 4 };
    CHECK(world.ask("g1", 1, true).counts == std::vector<std::uint16_t> { 3, 4 });
}

}
