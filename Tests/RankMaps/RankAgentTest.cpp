#include "RankMaps/RankAgent.h"

#include "Core/ManualClock.h"
#include "RankMaps/LoadOrderEncoder.h"

#include <doctest/doctest.h>

#include <fcntl.h>

#include <functional>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

// An engine that responds at once and records its orders.
class FakeEngine : public RankEngine {
public:
    void report(std::function<void(std::optional<RankReport>)> done) override { done(current); }
    void counts(std::function<void(std::optional<ExpertCounts>)> done) override { done(ExpertCounts { 1, expertCounts }); }
    void lists(std::function<void(std::optional<RankLists>)> done) override { done(RankLists { 0, { { 1 } } }); }
    void order(const RankOrder& order, std::chrono::milliseconds, std::function<void(RankOrderResult)> done) override
    {
        orders.push_back(order);
        if (loadsAtOnce && order.kind == RankOrderKind::Prepare)
            current.prepared = order.version;
        done(RankOrderResult::Accepted);
    }

    bool loadsAtOnce { true };
    RankReport current;
    std::vector<double> expertCounts { 10, 20 };
    std::vector<RankOrder> orders;
};

struct RankAgentFixture {
    RankAgentFixture() { engine.current.group = "g1"; }

    RankStatus requestStatus(const std::string& group, std::uint64_t term)
    {
        RankStatus result;
        RankStatusRequest request;
        request.group = group;
        request.term = term;
        request.controller = "c";
        agent.receive(request, [&result](const RankStatus& status) { result = status; });
        return result;
    }

    std::vector<double> collectCounts()
    {
        CountSum result;
        agent.collectCounts([&result](const CountSum& counts) { result = counts; });
        return result.counts;
    }

    RankOrderResult sendOrder(const std::string& group, std::uint64_t term)
    {
        RankOrderMessage message;
        message.group = group;
        message.term = term;
        message.encodedMap = encodeMap({ { { 0 } } });
        return sendOrder(message);
    }

    // The response to an accepted order is only a status.
    RankOrderResult sendOrder(const RankOrderMessage& message)
    {
        RankOrderResult result = RankOrderResult::Unknown;
        agent.receive(
            message, [&result](const RankOrderResultMessage& response) { result = response.result; },
            [&result](const RankStatus& status) { result = status.report ? RankOrderResult::Accepted : result; });
        return result;
    }

    ManualClock clock;
    FakeEngine engine;
    DecisionLog log { clock, ::open("/dev/null", O_WRONLY), "test" };
    // Tasks that the agent runs later.
    std::vector<std::function<void()>> delayedTasks;
    RankAgent agent { clock, "a", { "127.0.0.1", 1 }, engine, [this](std::chrono::milliseconds, std::function<void()> task) { delayedTasks.push_back(std::move(task)); }, log };
};

}

// Guards against a controller that was replaced during a process pause and still sends orders.
TEST_CASE("an agent passes on no order of a controller with a lower term")
{
    RankAgentFixture fixture;
    CHECK(fixture.requestStatus("g1", 5).term == 5);
    CHECK(fixture.sendOrder("g1", 4) == RankOrderResult::Fenced);
    CHECK(fixture.engine.orders.empty());
    CHECK(fixture.requestStatus("g1", 4).term == 5);
    CHECK(!fixture.requestStatus("g1", 4).report);
    CHECK(fixture.sendOrder("g1", 6) == RankOrderResult::Accepted);
    CHECK(fixture.engine.orders.size() == 1);
}

// Guards against a map that is reconstructed from another base map than the one that the controller used.
TEST_CASE("a map is reconstructed from differences, or the complete map is requested")
{
    RankAgentFixture fixture;
    auto first = std::make_shared<const GroupMap>(GroupMap { { { 0, 1 }, { 2, 3 } }, { { 0, 2 }, { 1, 3 } } });
    auto second = std::make_shared<const GroupMap>(GroupMap { { { 0, 1 }, { 2, 1 } }, { { 0, 2 }, { 1, 3 } } });
    RankOrderMessage message;
    message.group = "g1";
    message.term = 1;
    message.order.version = 7;
    std::shared_ptr<const GroupMap> map = first;
    LoadOrderEncoder encoder;
    auto load = [&](RankAgentFixture& agent, RankMapVersion lastSentVersion) {
        const EncodedMap& encoded = encoder.encode(message.order.version, map, lastSentVersion);
        message.baseVersion = encoded.baseVersion;
        message.encodedMap = encoded.bytes;
        return agent.sendOrder(decodeRankOrder(encodeMessage(message, HybridTime()).body));
    };
    CHECK(load(fixture, 0) == RankOrderResult::Accepted);
    CHECK(*fixture.engine.orders.back().map == *first);
    std::size_t fullMapBytes = message.encodedMap.size();
    message.order.version = 8;
    map = second;
    CHECK(load(fixture, 7) == RankOrderResult::Accepted);
    CHECK(message.encodedMap.size() < fullMapBytes);
    CHECK(*fixture.engine.orders.back().map == *second);
    // A resent order refers to the map that the agent already has.
    CHECK(load(fixture, 8) == RankOrderResult::Accepted);
    CHECK(*fixture.engine.orders.back().map == *second);
    // A restarted agent has no map.
    RankAgentFixture restarted;
    CHECK(load(restarted, 7) == RankOrderResult::BaseMissing);
    CHECK(restarted.engine.orders.empty());
    CHECK(load(restarted, 0) == RankOrderResult::Accepted);
}

// Guards against a controller that asks each rank of a large group again and again whether it has loaded a map.
TEST_CASE("the status after an order to load a map is sent once the map is loaded")
{
    RankAgentFixture fixture;
    fixture.engine.loadsAtOnce = false;
    RankOrderMessage message;
    message.group = "g1";
    message.term = 1;
    message.order.version = 7;
    message.encodedMap = encodeMap({ { { 0 } } });
    int responses = 0;
    fixture.agent.receive(
        message, [](const RankOrderResultMessage&) {}, [&](const RankStatus& status) {
            ++responses;
            CHECK(status.report->prepared == 7); });
    for (int i = 0; i < 3; ++i) {
        CHECK(responses == 0);
        REQUIRE(fixture.delayedTasks.size() == 1);
        std::exchange(fixture.delayedTasks, {}).front()();
    }
    fixture.engine.current.prepared = 7;
    std::exchange(fixture.delayedTasks, {}).front()();
    CHECK(responses == 1);
    CHECK(fixture.delayedTasks.empty());
}

// Guards against controllers that affect other groups of the same service.
TEST_CASE("the controller of another group changes neither the term nor the engine")
{
    RankAgentFixture fixture;
    fixture.requestStatus("g1", 2);
    TimePoint controllerLastSeen = fixture.agent.controllerLastSeen();
    fixture.clock.advance(std::chrono::seconds(3));
    RankStatus status = fixture.requestStatus("g2", 9);
    CHECK(status.report->group == "g1");
    CHECK(fixture.agent.term() == 2);
    CHECK(fixture.agent.controllerLastSeen() == controllerLastSeen);
    fixture.sendOrder("g2", 9);
    CHECK(fixture.engine.orders.empty());
}

// Guards against demand that is counted twice, or lost after a restart of the engine.
TEST_CASE("counts are the difference to the last response, and start from zero after a restart of the engine")
{
    RankAgentFixture fixture;
    CHECK(fixture.collectCounts().empty());
    fixture.engine.expertCounts = { 15, 40 };
    CHECK(fixture.collectCounts() == std::vector<double> { 5, 20 });
    fixture.engine.expertCounts = { 3, 4 };
    CHECK(fixture.collectCounts() == std::vector<double> { 3, 4 });
}

}
