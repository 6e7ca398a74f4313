#include "RankMaps/RankAgent.h"

#include "Core/ManualClock.h"
#include "RankMaps/LoadOrderEncoder.h"

#include <doctest/doctest.h>

#include <fcntl.h>

#include <vector>

namespace Damaskgrade {

namespace {

// An engine that responds at once and records its orders.
class FakeEngine : public RankEngine {
public:
    void report(std::function<void(std::optional<RankReport>)> done) override { done(current); }
    void counts(std::function<void(std::optional<ExpertCounts>)> done) override { done(ExpertCounts { 1, expertCounts }); }
    void lists(std::function<void(std::optional<RankLists>)> done) override { done(RankLists { 0, { { 1 } } }); }
    void order(const RankOrder& order, std::function<void(RankOrderResult)> done) override
    {
        orders.push_back(order);
        done(RankOrderResult::Accepted);
    }

    RankReport current;
    std::vector<double> expertCounts { 10, 20 };
    std::vector<RankOrder> orders;
};

struct RankAgentFixture {
    RankAgentFixture() { engine.current.group = "g1"; }

    RankStatus requestStatus(const std::string& group, std::uint64_t term, bool includeCounts = false)
    {
        RankStatus result;
        RankStatusRequest request;
        request.group = group;
        request.term = term;
        request.controller = "c";
        request.includeCounts = includeCounts;
        agent.receive(request, [&result](const RankStatus& status) { result = status; });
        return result;
    }

    RankOrderResult sendOrder(const std::string& group, std::uint64_t term)
    {
        RankOrderMessage message;
        message.group = group;
        message.term = term;
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
    RankAgent agent { clock, "a", { "127.0.0.1", 1 }, engine, log };
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
    message.order.map = first;
    LoadOrderEncoder encoder;
    auto receive = [&](RankMapVersion lastSentVersion) { return fixture.sendOrder(decodeRankOrder(encoder.encode(message, lastSentVersion, HybridTime()).body)); };
    std::size_t fullMapBytes = encoder.encode(message, 0, HybridTime()).body.size();
    CHECK(receive(0) == RankOrderResult::Accepted);
    message.order.version = 8;
    message.order.map = second;
    CHECK(encoder.encode(message, 7, HybridTime()).body.size() < fullMapBytes);
    CHECK(receive(7) == RankOrderResult::Accepted);
    CHECK(*fixture.engine.orders.back().map == *second);
    // A resent order refers to the map that the agent already has.
    CHECK(receive(8) == RankOrderResult::Accepted);
    CHECK(*fixture.engine.orders.back().map == *second);
    // A restarted agent has no map.
    RankAgentFixture restarted;
    CHECK(restarted.sendOrder(decodeRankOrder(encoder.encode(message, 7, HybridTime()).body)) == RankOrderResult::BaseMissing);
    CHECK(restarted.engine.orders.empty());
    CHECK(restarted.sendOrder(decodeRankOrder(encoder.encode(message, 0, HybridTime()).body)) == RankOrderResult::Accepted);
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
    CHECK(fixture.requestStatus("g1", 1, true).counts.empty());
    fixture.engine.expertCounts = { 15, 40 };
    CHECK(fixture.requestStatus("g1", 1, true).counts == std::vector<std::uint16_t> { 5, 20 });
    fixture.engine.expertCounts = { 3, 4 };
    CHECK(fixture.requestStatus("g1", 1, true).counts == std::vector<std::uint16_t> { 3, 4 });
}

}
