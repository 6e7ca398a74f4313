#include "RankMaps/RankAgent.h"

#include "Core/ManualClock.h"
#include "RankMaps/LoadOrderEncoder.h"

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
        RankOrderMessage message;
        message.group = group;
        message.term = term;
        return give(message);
    }

    // An accepted order is answered by a status alone.
    RankOrderResult give(const RankOrderMessage& message)
    {
        RankOrderResult result = RankOrderResult::Unknown;
        agent.receive(
            message, [&result](const RankOrderResultMessage& answer) { result = answer.result; },
            [&result](const RankStatus& status) { result = status.report ? RankOrderResult::Accepted : result; });
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

// Guards against a map that is put together from differences to another one than the controller means.
TEST_CASE("a map that is described by its differences is completed, or asked for as a whole")
{
    World world;
    auto first = std::make_shared<const GroupMap>(GroupMap { { { 0, 1 }, { 2, 3 } }, { { 0, 2 }, { 1, 3 } } });
    auto second = std::make_shared<const GroupMap>(GroupMap { { { 0, 1 }, { 2, 1 } }, { { 0, 2 }, { 1, 3 } } });
    RankOrderMessage message;
    message.group = "g1";
    message.term = 1;
    message.order.version = 7;
    message.order.map = first;
    LoadOrderEncoder encoder;
    auto receive = [&](RankMapVersion sentBefore) { return world.give(decodeRankOrder(encoder.encode(message, sentBefore, HybridTime()).body)); };
    std::size_t wholeBytes = encoder.encode(message, 0, HybridTime()).body.size();
    CHECK(receive(0) == RankOrderResult::Accepted);
    message.order.version = 8;
    message.order.map = second;
    CHECK(encoder.encode(message, 7, HybridTime()).body.size() < wholeBytes);
    CHECK(receive(7) == RankOrderResult::Accepted);
    CHECK(*world.engine.orders.back().map == *second);
    // A repetition names the map that the agent has already.
    CHECK(receive(8) == RankOrderResult::Accepted);
    CHECK(*world.engine.orders.back().map == *second);
    // Another start of the agent knows no map.
    World restarted;
    CHECK(restarted.give(decodeRankOrder(encoder.encode(message, 7, HybridTime()).body)) == RankOrderResult::BaseMissing);
    CHECK(restarted.engine.orders.empty());
    CHECK(restarted.give(decodeRankOrder(encoder.encode(message, 0, HybridTime()).body)) == RankOrderResult::Accepted);
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
