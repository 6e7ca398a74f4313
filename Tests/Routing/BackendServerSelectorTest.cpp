#include "Routing/BaselineSelectors.h"
#include "RoutingFixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Damaskgrade {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against new calls to draining, suspected, disconnected and ejected servers in any combination of states.
TEST_CASE("an unavailable server is never selected while another is healthy")
{
    bool propertyHolds = rc::check([] {
        RoutingFixture fixture(*rc::gen::arbitrary<std::uint64_t>());
        fixture.connect("healthy");
        int count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i) {
            std::string name = "other-" + std::to_string(i);
            fixture.connect(name);
            fixture.report(name, 0);
            int state = *rc::gen::inRange(0, 4);
            if (state == 0)
                fixture.table.setDraining(name, true);
            if (state == 1)
                fixture.table.setSuspected(name, true);
            if (state == 2)
                fixture.table.disconnected(name);
            if (state == 3) {
                for (int failure = 0; failure < 5; ++failure)
                    fixture.outliers.callFailed(name);
                if (!fixture.outliers.isEjected(name))
                    fixture.table.setDraining(name, true);
            }
        }
        fixture.report("healthy", 8, 50);
        for (int i = 0; i < 10; ++i)
            RC_ASSERT(fixture.select().server == "healthy");
    });
    CHECK(propertyHolds);
}

// Guards against new calls to a draining server if there is no other, for each policy.
TEST_CASE("a draining server is never selected, even if it is the only one")
{
    RoutingFixture fixture;
    fixture.connect("one");
    fixture.table.setDraining("one", true);
    SelectionRequest request;
    request.serves = "m";
    CHECK(fixture.select().code == ResultCode::NoBackendServer);
    CHECK(RoundRobinSelector(fixture.table).select(request).code == ResultCode::NoBackendServer);
    CHECK(LeastReportedSelector(fixture.table).select(request).code == ResultCode::NoBackendServer);
    CHECK(TwoChoicesSelector(fixture.table, fixture.random).select(request).code == ResultCode::NoBackendServer);
}

// Guards against an outage caused by wrong suspicion, or by ejection when all servers fail.
TEST_CASE("if all servers are suspected or failing, one is still selected")
{
    RoutingFixture fixture;
    for (const char* name : { "one", "two", "three" }) {
        fixture.connect(name);
        for (int i = 0; i < 20; ++i)
            fixture.outliers.callFailed(name);
    }
    CHECK(fixture.select().code == ResultCode::Ok);
    for (const char* name : { "one", "two", "three" })
        fixture.table.setSuspected(name, true);
    CHECK(fixture.select().code == ResultCode::Ok);
}

// Guards against a retry at the server where the call just failed, and against a wrong result code.
TEST_CASE("already tried servers are not selected, and missing tickets and missing servers give different codes")
{
    RoutingFixture fixture;
    fixture.connect("one");
    fixture.connect("two");
    std::vector<std::string> tried { "one" };
    SelectionRequest request;
    request.tried = tried;
    CHECK(fixture.countSelected("two", 20, request) == 20);
    fixture.table.setTicketsHeld("two", 0);
    CHECK(fixture.select(request).code == ResultCode::Overloaded);
    tried.push_back("two");
    request.tried = tried;
    CHECK(fixture.select(request).code == ResultCode::NoBackendServer);
}

// Guards against a call that waits indefinitely because only an ejected server has tickets.
TEST_CASE("an ejected server is selected if only it has tickets")
{
    RoutingFixture fixture;
    fixture.connect("ejected");
    fixture.connect("full");
    fixture.table.setTicketsHeld("full", 0);
    for (int i = 0; i < 5; ++i)
        fixture.outliers.callFailed("ejected");
    REQUIRE(fixture.outliers.isEjected("ejected"));
    CHECK(fixture.select().server == "ejected");
}

// Guards against calls that wait for tickets of servers that are no longer connected.
TEST_CASE("calls do not wait for tickets of a disconnected server")
{
    RoutingFixture fixture;
    fixture.connect("gone");
    fixture.table.disconnected("gone");
    CHECK(fixture.select().code == ResultCode::NoBackendServer);
}

// Guards against processing a cached prompt prefix again because two random candidates rarely include the engine that
// has it in its cache.
TEST_CASE("the server with the longest cached prefix is always a candidate")
{
    RoutingFixture fixture;
    for (int i = 0; i < 16; ++i) {
        fixture.connect("engine-" + std::to_string(i));
        fixture.report("engine-" + std::to_string(i), 2);
    }
    std::vector<std::uint64_t> prefix { 1, 2 };
    std::vector<CacheEvent> events { { 1, CacheEventKind::Stored, 1 }, { 2, CacheEventKind::Stored, 2 } };
    fixture.cache.apply("engine-3", gsl::span<const CacheEvent>(events).first(1));
    fixture.cache.apply("engine-7", events);
    SelectionRequest request;
    request.prefix = prefix;
    CHECK(fixture.countSelected("engine-7", 50, request) == 50);
}

// Guards against all entries selecting the server that had the lowest load in an old load report.
TEST_CASE("an old load report counts less than one call in flight from this entry")
{
    RoutingFixture fixture;
    fixture.connect("looked-free");
    fixture.connect("looked-busy");
    fixture.report("looked-free", 0);
    fixture.report("looked-busy", 8, 4);
    CHECK(fixture.countSelected("looked-free", 30) == 30);
    fixture.clock.advance(seconds(20));
    fixture.table.callStarted("looked-free", "call");
    fixture.table.callProgressed("looked-free");
    CHECK(fixture.countSelected("looked-busy", 30) == 30);
}

// Guards against calls to an engine whose process is paused while its link and the instance list show it as alive.
TEST_CASE("a silent server with calls in flight is avoided")
{
    RoutingFixture fixture;
    fixture.connect("paused");
    fixture.connect("busy");
    fixture.table.callStarted("paused", "call");
    fixture.clock.advance(seconds(2));
    fixture.report("busy", 8, 8);
    CHECK(fixture.countSelected("paused", 50) == 0);
    fixture.table.callProgressed("paused");
    CHECK(fixture.countSelected("paused", 50) == 50);
}

// Guards against herding: all calls would go to the server with the lowest load in an old load report.
TEST_CASE("with old load reports, the calls of this entry are spread over the servers")
{
    RoutingFixture fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.connect("engine-" + std::to_string(i));
        fixture.report("engine-" + std::to_string(i), i == 0 ? 0 : 4);
    }
    for (int i = 0; i < 64; ++i) {
        std::string name = fixture.select().server;
        fixture.clock.advance(milliseconds(1));
        fixture.table.callStarted(name, std::to_string(i));
    }
    for (const auto& [name, server] : fixture.table.servers())
        CHECK(server.callsInFlight.size() <= 24);
}

// Guards against ignoring a part of the score: the server that is better in one respect and equal in all others must
// be selected.
TEST_CASE("the candidate with the shorter expected time is selected")
{
    RoutingFixture fixture;
    std::vector<std::uint64_t> prefix { 1, 2, 3, 4 };
    SelectionRequest request;
    request.prefix = prefix;
    fixture.connect("one", "a");
    fixture.connect("two", "a");
    fixture.report("one", 2);
    fixture.report("two", 2);

    SUBCASE("prefix in the cache")
    {
        std::vector<CacheEvent> events { { 1, CacheEventKind::Stored, 1 }, { 2, CacheEventKind::Stored, 2 } };
        fixture.cache.apply("two", events);
    }
    SUBCASE("same zone")
    {
        fixture.connect("one", "b");
    }
    SUBCASE("free slot in the batch")
    {
        fixture.report("one", 8, 1);
    }
    SUBCASE("adapter is loaded")
    {
        request.adapter = "lora";
        BackendServerTraits traits;
        traits.adapters = { "lora" };
        fixture.table.setTraits("two", traits);
    }
    SUBCASE("shorter steps")
    {
        TicketsMessage message;
        message.load = { 2, 0, 8, std::chrono::microseconds(90000), milliseconds(0) };
        fixture.table.ticketsReceived("one", message);
    }
    SUBCASE("smaller batch with equal step times reported")
    {
        fixture.clock.advance(milliseconds(1));
        fixture.table.callStarted("one", "call");
    }
    SUBCASE("role of the engine")
    {
        request.role = EngineRole::Decode;
        BackendServerTraits traits;
        traits.role = EngineRole::Prefill;
        fixture.table.setTraits("one", traits);
    }
    SUBCASE("version of the model")
    {
        request.version = "2";
        BackendServerTraits traits;
        traits.versions = { "1", "2" };
        fixture.table.setTraits("two", traits);
    }
    CHECK(fixture.countSelected("two", 30, request) == 30);
}

// Guards against scoring a group with a straggler rank like a group whose ranks are equally fast.
TEST_CASE("the skew of a group increases its expected time")
{
    RoutingFixture fixture;
    HelloMessage hello;
    hello.name = "skewed";
    hello.serves = "m";
    hello.group = "g";
    hello.availabilityZone = "a";
    fixture.skew = 2;
    fixture.table.connected(hello);
    fixture.table.setTicketsHeld("skewed", 10);
    fixture.connect("plain");
    fixture.report("skewed", 2);
    fixture.report("plain", 2);
    CHECK(fixture.countSelected("skewed", 30) == 0);
}

// Guards against counting queued calls for a call with priority, which the engine starts before them.
TEST_CASE("queued calls are not counted for a call with priority")
{
    RoutingFixture fixture;
    fixture.connect("near", "a");
    fixture.connect("far", "b");
    fixture.report("near", 8, 3);
    fixture.report("far", 8, 2);
    SelectionRequest request;
    CHECK(fixture.countSelected("far", 30, request) == 30);
    request.priority = 1;
    CHECK(fixture.countSelected("near", 30, request) == 30);
}

// Guards against overloading a zone that returns after an outage with empty queues.
TEST_CASE("a zone that returns gets only a small share of the calls at first")
{
    RoutingFixture fixture;
    for (int i = 0; i < 6; ++i)
        fixture.connect("engine-" + std::to_string(i));
    fixture.clock.advance(seconds(30));
    for (int i = 0; i < 6; ++i)
        fixture.report("engine-" + std::to_string(i), 8, 4);
    for (const char* name : { "engine-0", "engine-1" }) {
        fixture.table.disconnected(name);
        fixture.outliers.remove(name);
        fixture.connect(name, "a", "2");
    }
    int returned = 0;
    for (int i = 0; i < 300; ++i) {
        std::string name = fixture.select().server;
        returned += name == "engine-0" || name == "engine-1" ? 1 : 0;
    }
    CHECK(returned < 100);
    CHECK(returned > 0);
}

}
