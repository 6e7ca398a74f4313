#include "RoutingFixture.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

using std::chrono::milliseconds;

// Guards against herding: between two load reports all calls would go to the server with the lowest reported load.
TEST_CASE("calls that this entry started since a delayed load report count as load")
{
    RoutingFixture fixture;
    fixture.connect("one");
    fixture.clock.advance(milliseconds(500));
    fixture.table.callStarted("one", "before");
    fixture.clock.advance(milliseconds(100));
    fixture.report("one", 5, 0, milliseconds(50));
    fixture.table.callStarted("one", "after");
    CHECK(expectedCalls(*fixture.table.find("one")) == 6);
    fixture.clock.advance(milliseconds(10));
    fixture.table.callEnded("one", "before");
    CHECK(expectedCalls(*fixture.table.find("one")) == 5);
    fixture.report("one", 2);
    CHECK(expectedCalls(*fixture.table.find("one")) == 2);
}

// Guards against a delayed load report that replaces a newer one.
TEST_CASE("a load report older than the last one is ignored")
{
    RoutingFixture fixture;
    fixture.connect("one");
    fixture.report("one", 7);
    fixture.report("one", 1, 0, milliseconds(900));
    CHECK(fixture.table.find("one")->load.running == 7);
}

// Guards against calls with tickets that a restarted or draining agent has revoked.
TEST_CASE("tickets are discarded when an agent restarts or drains")
{
    RoutingFixture fixture;
    fixture.connect("one");
    fixture.table.callStarted("one", "call");
    CHECK(fixture.table.ticketsHeld("m") == 99);
    fixture.table.disconnected("one");
    CHECK(fixture.table.ticketsHeld("m") == 0);
    HelloMessage hello;
    hello.name = "one";
    hello.serves = "m";
    hello.incarnation = "2";
    fixture.table.connected(hello);
    CHECK(fixture.table.find("one")->callsInFlight.empty());
    TicketsMessage tickets;
    tickets.count = 4;
    fixture.table.ticketsReceived("one", tickets);
    CHECK(fixture.table.ticketsHeld("m") == 4);
    tickets.isDraining = true;
    fixture.table.ticketsReceived("one", tickets);
    CHECK(fixture.table.find("one")->ticketsHeld == 0);
}

}
