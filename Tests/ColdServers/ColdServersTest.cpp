#include "ColdServers/ColdServers.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

using Milliseconds = std::chrono::milliseconds;

struct Change {
    std::string zone;
    bool isCold { false };
    std::size_t count { 0 };
};

// One entry's evidence. The service "model" has a limit, "app" has none.
struct Fixture {
    ManualClock clock;
    std::vector<Change> changes;
    ColdServers::Servers servers;
    ColdServers cold { clock, {}, [](std::string_view service) { return service == "model" ? ColdLimit { 17, std::chrono::seconds(3) } : ColdLimit {}; },
        [this](const std::string& zone, bool isCold, std::size_t count) { changes.push_back({ zone, isCold, count }); } };

    ServerRecord& set(const std::string& id, std::optional<Milliseconds> stated, std::int64_t startedAt = 1, const std::string& service = "model")
    {
        ServerRecord& server = servers[id];
        server.id = id;
        server.service = service;
        server.availabilityZone = "a";
        server.startedAt = startedAt;
        server.remainingWarmUp = stated;
        return server;
    }

    void read(Duration age = Duration::zero()) { cold.update(servers, clock.now() - age); }
    Duration remaining(const std::string& id) const { return cold.remaining(servers.at(id)); }
};

}

// Guards against a new server that gets the full load because nothing is known of it yet.
TEST_CASE("a server without evidence is cold, and so is a new start")
{
    Fixture fixture;
    fixture.set("s", std::nullopt);
    CHECK(fixture.remaining("s") == std::chrono::seconds(3));
    fixture.read();
    fixture.clock.advance(Milliseconds(2999));
    fixture.read();
    CHECK(fixture.remaining("s") == Milliseconds(1));
    fixture.clock.advance(Milliseconds(1));
    CHECK(fixture.remaining("s") == Duration::zero());
    fixture.set("s", std::nullopt, 2);
    CHECK(fixture.remaining("s") == std::chrono::seconds(3));
    fixture.read();
    CHECK(fixture.remaining("s") == std::chrono::seconds(3));
}

// Guards against an entry that limits all servers after its own start, and against a stated time that counts from a later moment.
TEST_CASE("the registry states less, as of the time of the read")
{
    Fixture fixture;
    fixture.set("warm", Milliseconds(0));
    fixture.set("cold", Milliseconds(1000));
    fixture.read(Milliseconds(200));
    CHECK(fixture.remaining("warm") == Duration::zero());
    CHECK(fixture.remaining("cold") == Milliseconds(800));
    fixture.clock.advance(Milliseconds(500));
    fixture.read();
    CHECK(fixture.remaining("cold") == Milliseconds(300));
}

// Guards against a server that is taken for warm because it has become cold without a new start.
TEST_CASE("a server that the registry states as cold again is cold")
{
    Fixture fixture;
    fixture.set("s", Milliseconds(0));
    fixture.read();
    fixture.set("s", Milliseconds(2500));
    fixture.read();
    CHECK(fixture.remaining("s") == Milliseconds(2500));
    fixture.clock.advance(Milliseconds(2500));
    fixture.read();
    CHECK(fixture.remaining("s") == Milliseconds(2500));
}

// Guards against a record from before the end of the evacuation that ends the coldness after it.
TEST_CASE("after an evacuation, servers are cold until a record that was written later")
{
    Fixture fixture;
    fixture.set("s", Milliseconds(0));
    fixture.read();
    fixture.cold.recordEvacuationEnd("b", fixture.servers);
    CHECK(fixture.remaining("s") == Duration::zero());
    fixture.cold.recordEvacuationEnd("a", fixture.servers);
    fixture.clock.advance(Milliseconds(1199));
    fixture.read();
    CHECK(fixture.remaining("s") == Milliseconds(1801));
    fixture.clock.advance(Milliseconds(1));
    fixture.read();
    CHECK(fixture.remaining("s") == Duration::zero());
}

// Guards against statements in responses that are not used, or that are older than what they contradict.
TEST_CASE("responses state the remaining time")
{
    Fixture fixture;
    ServerRecord server = fixture.set("s", Milliseconds(0));
    fixture.read();
    TimePoint before = fixture.clock.now();
    fixture.clock.advance(Milliseconds(100));
    fixture.cold.recordResponse(server, Milliseconds(2000), before);
    CHECK(fixture.remaining("s") == Milliseconds(2000));
    fixture.cold.recordResponse(server, Milliseconds(0), before);
    CHECK(fixture.remaining("s") == Milliseconds(2000));
    fixture.clock.advance(Milliseconds(100));
    fixture.read();
    CHECK(fixture.remaining("s") == Milliseconds(1900));
    fixture.cold.recordResponse(server, Milliseconds(0), fixture.clock.now());
    CHECK(fixture.remaining("s") == Duration::zero());
    fixture.set("s", std::nullopt, 2);
    fixture.read();
    // A late response of the start before.
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.cold.recordResponse(server, Milliseconds(0), fixture.clock.now());
    CHECK(fixture.remaining("s") == std::chrono::seconds(2));
}

// Guards against a huge stated time that overflows, or that limits a server for good.
TEST_CASE("a huge stated time is bounded")
{
    Fixture fixture;
    fixture.set("s", Milliseconds(std::numeric_limits<std::int64_t>::max()));
    fixture.read();
    CHECK(fixture.remaining("s") == std::chrono::minutes(10));
}

// Guards against limits for services that state none.
TEST_CASE("servers of a service without a limit are never cold")
{
    Fixture fixture;
    fixture.set("s", Milliseconds(2000), 1, "app");
    fixture.read();
    fixture.cold.recordEvacuationEnd("a", fixture.servers);
    fixture.cold.recordResponse(fixture.servers.at("s"), Milliseconds(2000), fixture.clock.now());
    CHECK(fixture.remaining("s") == Duration::zero());
    CHECK(fixture.changes.empty());
}

// Guards against a line for each server of a large zone.
TEST_CASE("changes are reported once for each zone, with the number of servers")
{
    Fixture fixture;
    for (std::string id : { "s1", "s2", "s3" })
        fixture.set(id, std::nullopt);
    fixture.read();
    fixture.read();
    REQUIRE(fixture.changes.size() == 1);
    CHECK(fixture.changes[0].isCold);
    CHECK(fixture.changes[0].count == 3);
    CHECK(fixture.cold.coldCount() == 3);
    fixture.clock.advance(std::chrono::seconds(3));
    fixture.read();
    REQUIRE(fixture.changes.size() == 2);
    CHECK(!fixture.changes[1].isCold);
    CHECK(fixture.changes[1].count == 3);
    CHECK(fixture.cold.coldCount() == 0);
}

}
