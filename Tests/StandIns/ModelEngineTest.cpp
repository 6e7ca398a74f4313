#include "Core/Error.h"
#include "Core/ManualClock.h"
#include "StandIns/ContinuousBatch.h"
#include "StandIns/EngineOrders.h"
#include "StandIns/GeneratedText.h"
#include "StandIns/PrefixCache.h"
#include "StandIns/StepBarrier.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using Json = nlohmann::json;

// A batch without prefill time, and the texts that it has delivered, by request id.
struct BatchFixture {
    explicit BatchFixture(std::size_t capacity)
        : batch(
            capacity, [](const std::string&) { return Duration::zero(); }, [](const std::string&, std::uint64_t) {})
    {
    }

    void add(const GenerationRequest& request)
    {
        GenerationSink sink;
        sink.onToken = [this, id = request.requestId](std::uint64_t, const std::string& text) { texts[id] += text; };
        sink.onFinish = [](std::uint64_t) {};
        sink.onCancel = [](std::uint64_t) {};
        batch.add(request, sink);
    }

    void step()
    {
        batch.admitWaiting(clock.now());
        batch.step(clock.now());
    }

    ManualClock clock;
    ContinuousBatch batch;
    std::map<std::string, std::string> texts;
};

constexpr std::uint64_t oldMap = 1;
constexpr std::uint64_t newMap = 2;

EngineOrders ordersWithMap()
{
    EngineOrders::Options options;
    options.mapVersion = oldMap;
    return EngineOrders(options);
}

Json order(const char* kind, std::uint64_t sequence)
{
    return { { "kind", kind }, { "epoch", { 1, sequence } }, { "fencing_token", 1 } };
}

Json arm(std::uint64_t step, std::uint64_t mapVersion = newMap, std::uint64_t sequence = 1)
{
    Json json = order("arm", sequence);
    json["step"] = step;
    json["map_version"] = mapVersion;
    return json;
}

Json prepare(std::uint64_t mapVersion = newMap, std::uint64_t sequence = 1)
{
    Json json = order("prepare", sequence);
    json["map_version"] = mapVersion;
    return json;
}

Json release(std::uint64_t mapVersion, std::uint64_t sequence = 1)
{
    Json json = order("release", sequence);
    json["map_version"] = mapVersion;
    return json;
}

}

// Guards against a resumed completion that differs from the original one, which would make correct resumption in the
// load balancer look faulty.
TEST_CASE("a stream that is resumed at any byte continues the same completion")
{
    std::string fullText = generatedText("prompt", 5);
    for (std::size_t cut = 0; cut <= fullText.size(); ++cut) {
        BatchFixture batch(1);
        batch.add({ "r", "prompt", 5, 0, fullText.substr(0, cut) });
        for (int step = 0; step < 6; ++step)
            batch.step();
        CHECK(fullText.substr(0, cut) + batch.texts["r"] == fullText);
        CHECK(batch.batch.isEmpty());
    }
    CHECK_THROWS_AS(BatchFixture(1).add({ "r", "prompt", 5, 0, "other " }), Error);
}

// Guards against a batch that exceeds its size, ignores priorities or continues cancelled streams.
TEST_CASE("each step generates one token per running stream, and queued streams start by priority")
{
    BatchFixture batch(2);
    batch.add({ "low", "p", 2, 0, "" });
    batch.add({ "first", "p", 2, 5, "" });
    batch.add({ "second", "p", 2, 5, "" });
    batch.step();
    CHECK(batch.texts["first"] == generatedText("p", 1));
    CHECK(batch.texts["second"] == generatedText("p", 1));
    CHECK(batch.texts.count("low") == 0);
    CHECK(batch.batch.cancel("first") == 1);
    batch.step();
    CHECK(batch.texts["first"] == generatedText("p", 1));
    CHECK(batch.texts["low"] == generatedText("p", 1));
}

// Guards against a wrong eviction order, and against cache events without the configured delay and gaps.
TEST_CASE("the prefix cache evicts the least recently used blocks and delivers events with delay and gaps")
{
    ManualClock clock;
    PrefixCache cache({ 2, std::chrono::seconds(1), 2 });
    std::string first(PrefixCache::blockBytes, 'a');
    std::string second(PrefixCache::blockBytes, 'b');
    CHECK(cache.use(clock.now(), first + second) == 0);
    CHECK(cache.use(clock.now(), first + second + "rest") == 2);
    CHECK(cache.use(clock.now(), second) == 0);
    // The block after the first one was evicted, and the first one is still cached.
    CHECK(cache.use(clock.now(), first + second) == 1);
    CHECK(cache.eventsAfter(clock.now(), 0).empty());
    clock.advance(std::chrono::seconds(1));
    std::vector<PrefixCacheEvent> events = cache.eventsAfter(clock.now(), 0);
    REQUIRE(events.size() == 3);
    CHECK(events[0].sequence == 1);
    CHECK(events[1].sequence == 3);
    CHECK(cache.eventsAfter(clock.now(), 3).size() == 1);
}

// Guards against an engine that begins the armed step before it knows whether the map changes.
TEST_CASE("an armed engine doesn't begin the armed step until it is released")
{
    for (std::uint64_t outcome : { oldMap, newMap }) {
        std::uint64_t otherMap = outcome == oldMap ? newMap : oldMap;
        EngineOrders orders = ordersWithMap();
        orders.finish(1);
        CHECK(orders.apply(arm(4)).status == 409);
        CHECK(orders.apply(prepare()).status == 200);
        CHECK(orders.tryBegin(2));
        CHECK(orders.apply(arm(4)).status == 200);
        CHECK(orders.apply(arm(5)).status == 409);
        CHECK(orders.apply(prepare(3, 2)).status == 409);
        CHECK(orders.apply(order("refuse", 1)).status == 409);
        CHECK(orders.apply(order("refuse", 2)).status == 409);
        CHECK(orders.state().at("armed_epoch") == Json { 1, 1 });
        CHECK(orders.state().at("armed_version") == newMap);
        orders.finish(2);
        CHECK(orders.tryBegin(3));
        CHECK(orders.state().at("blocked") == false);
        orders.finish(3);
        CHECK_FALSE(orders.tryBegin(4));
        CHECK(orders.state().at("blocked") == true);
        CHECK(orders.apply(release(3)).status == 409);
        CHECK(orders.apply(release(outcome)).status == 200);
        CHECK(orders.apply(release(otherMap)).status == 409);
        CHECK(orders.apply(release(outcome)).status == 200);
        CHECK(orders.state().at("settled_epoch") == Json { 1, 1 });
        CHECK(orders.tryBegin(4));
        CHECK(orders.mapVersionAt(3) == oldMap);
        CHECK(orders.mapVersionAt(4) == outcome);
    }
}

// Guards against a second map switch that is armed before the step of the first one is reached.
TEST_CASE("an engine refuses to arm another map before the step of a released switch")
{
    EngineOrders orders = ordersWithMap();
    orders.finish(1);
    CHECK(orders.apply(prepare()).status == 200);
    CHECK(orders.apply(arm(4)).status == 200);
    CHECK(orders.apply(release(newMap)).status == 200);
    CHECK(orders.state().at("map_version") == newMap);
    CHECK(orders.apply(prepare(3, 2)).status == 200);
    CHECK(orders.apply(arm(9, 3, 2)).status == 409);
    CHECK(orders.tryBegin(3));
    orders.finish(3);
    CHECK(orders.apply(arm(9, 3, 2)).status == 200);
}

// Guards against an engine that arms a step to which it is already committed, or arms an epoch after it has refused it.
TEST_CASE("an engine that is committed to the step refuses the epoch permanently")
{
    EngineOrders orders = ordersWithMap();
    orders.finish(1);
    CHECK(orders.apply(prepare()).status == 200);
    CHECK(orders.tryBegin(2));
    CHECK(orders.apply(arm(2)).status == 409);
    CHECK(orders.apply(arm(9)).status == 409);
    CHECK(orders.apply(release(newMap)).status == 409);
    CHECK(orders.state().at("settled_epoch") == Json { 1, 1 });
}

// Guards against an engine that arms an epoch after it has carried out an order to refuse it or a higher one.
TEST_CASE("an engine arms neither a refused epoch nor a lower one")
{
    EngineOrders orders = ordersWithMap();
    orders.finish(1);
    CHECK(orders.apply(prepare()).status == 200);
    CHECK(orders.apply(order("refuse", 2)).status == 200);
    CHECK(orders.apply(order("refuse", 2)).status == 200);
    for (std::uint64_t sequence : { 1, 2 })
        CHECK(orders.apply(arm(9, newMap, sequence)).status == 409);
    CHECK(orders.apply(arm(9, newMap, 3)).status == 200);
}

// Guards against an engine that runs steps or carries out orders of an older epoch during a recovery.
TEST_CASE("a recovery blocks immediately, replaces an armed epoch and sets the map of a restarted engine")
{
    EngineOrders::Options options;
    options.waitsForMap = true;
    EngineOrders restarted(options);
    EngineOrders armed = ordersWithMap();
    armed.finish(1);
    CHECK(armed.apply(prepare()).status == 200);
    CHECK(armed.apply(arm(9)).status == 200);
    restarted.applyGroupState(1, newMap);
    CHECK(restarted.state().at("map_version") == 0);
    CHECK_FALSE(restarted.tryBegin(2));
    CHECK(restarted.apply(arm(9)).status == 409);
    CHECK(restarted.apply(order("refuse", 2)).status == 409);
    for (EngineOrders* orders : { &restarted, &armed }) {
        CHECK(orders->apply(arm(0, 0, 2)).status == 200);
        CHECK_FALSE(orders->tryBegin(2));
        CHECK(orders->apply(arm(9)).status == 409);
        CHECK(orders->apply(release(oldMap, 1)).status == 409);
        CHECK(orders->apply(release(0, 2)).status == 409);
    }
    CHECK(restarted.apply(release(oldMap, 2)).status == 409);
    CHECK(restarted.apply(prepare(oldMap, 2)).status == 200);
    for (EngineOrders* orders : { &restarted, &armed }) {
        CHECK(orders->apply(release(oldMap, 2)).status == 200);
        CHECK(orders->tryBegin(2));
        CHECK(orders->mapVersionAt(2) == oldMap);
    }
}

// Guards against a simulated engine that ignores its fencing option.
TEST_CASE("only an engine that checks fencing refuses a stale token")
{
    EngineOrders::Options options;
    for (bool checks : { false, true }) {
        options.checksFencing = checks;
        EngineOrders orders(options);
        CHECK(orders.checkFencing({ { "fencing_token", 5 } }).status == 200);
        CHECK(orders.checkFencing({ { "fencing_token", 4 } }).status == (checks ? 409 : 200));
        CHECK(orders.state().at("highest_token") == 5);
    }
}

// Guards against an engine that begins a step before its group, and against mixed maps that aren't counted.
TEST_CASE("the barrier releases a step when all engines have arrived")
{
    StepBarrier barrier(2);
    std::vector<BarrierResponse> responses;
    auto collect = [&](const BarrierResponse& response) { responses.push_back(response); };
    barrier.arrive({ "a", 6, 1, false }, collect);
    barrier.removeArrival(barrier.arrive({ "b", 6, 1, false }, collect) + 1);
    REQUIRE(responses.size() == 2);
    CHECK(responses[1].step == 7);
    CHECK(barrier.mixedMapSteps() == 0);

    responses.clear();
    std::uint64_t removedNumber = barrier.arrive({ "b", 7, 1, false }, collect);
    barrier.removeArrival(removedNumber);
    barrier.arrive({ "a", 7, 1, false }, collect);
    CHECK(responses.empty());
    barrier.arrive({ "b", 0, 0, true }, collect);
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].mustApplyState);
    CHECK(responses[0].step == 7);
    CHECK(responses[0].mapVersion == 1);
    barrier.arrive({ "b", 7, 2, false }, collect);
    REQUIRE(responses.size() == 3);
    CHECK(barrier.mixedMapSteps() == 1);
}

}
