#include "Forwarding/ForwardingSimulation.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

// Longer than the time for which a server that has refused a request is avoided.
constexpr milliseconds retryTime { 300 };

}

// Guards against the second copy of a refusal that is taken for the response to a later send of the same request, which
// the server executes: the request would be sent once more and run twice.
TEST_CASE("a late second copy of a refusal does not refuse the next send of the request")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 1, 1);
    std::shared_ptr<SimulatedExchange> caller = simulation.start("a");
    REQUIRE(simulation.sentRequests() == 1);
    std::shared_ptr<SimulatedConnection> refusing = simulation.usedConnections().front();
    refusing->receive(ForwardingSimulation::refusal("a"));
    simulation.advance(retryTime);
    REQUIRE(simulation.sentRequests() == 2);

    refusing->receive(ForwardingSimulation::refusal("a"));
    simulation.advance(retryTime);
    CHECK(simulation.sentRequests() == 2);
    CHECK(caller->status() == 0);
    simulation.usedConnections().back()->receive(ForwardingSimulation::success("a", "done"));
    CHECK(caller->status() == 200);
    CHECK(caller->body() == "done");
}

// Guards against a caller who is told that a request was not run, since the second copy of a refusal was taken for the
// response to the last send.
TEST_CASE("a late second copy of a refusal does not make a running request count as not executed")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 1, 1);
    std::shared_ptr<SimulatedExchange> caller = simulation.start("a");
    std::shared_ptr<SimulatedConnection> refusing = simulation.usedConnections().front();
    refusing->receive(ForwardingSimulation::refusal("a"));
    simulation.advance(retryTime);
    REQUIRE(simulation.sentRequests() == 2);
    refusing->receive(ForwardingSimulation::refusal("a"));
    refusing->receive(ForwardingSimulation::success("a", "done"));
    simulation.setAcceptsConnections(false);
    constexpr milliseconds timeout { 8000 };
    simulation.advance(timeout);
    CHECK(caller->status() == 504);
}

// Guards against a refusal without a request id that is a second copy: it would refuse a request of another caller, which
// the server executes.
TEST_CASE("a late second copy of a refusal that states no id does not refuse another request")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 1, 1);
    std::shared_ptr<SimulatedExchange> first = simulation.start("a");
    std::shared_ptr<SimulatedConnection> connection = simulation.usedConnections().front();
    connection->receive(ForwardingSimulation::refusalWithoutId());
    first->disconnect();
    simulation.advance(retryTime);
    std::shared_ptr<SimulatedExchange> second = simulation.start("b");
    REQUIRE(simulation.sentRequests() == 2);
    REQUIRE(connection->requests().size() == 2);

    connection->receive(ForwardingSimulation::refusalWithoutId());
    simulation.advance(retryTime);
    CHECK(simulation.sentRequests() == 2);
    connection->receive(ForwardingSimulation::success("b", "done"));
    CHECK(second->status() == 200);
}

// Guards against a request that no longer gets connections to its server, or that opens one for each send.
TEST_CASE("after a refusal the request uses another kept connection, and other requests use the first one")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 1, 1);
    std::shared_ptr<SimulatedExchange> refused = simulation.start("a");
    std::shared_ptr<SimulatedExchange> answered = simulation.start("b");
    REQUIRE(simulation.usedConnections().size() == 2);
    simulation.usedConnections()[1]->receive(ForwardingSimulation::success("b", "done"));
    simulation.usedConnections()[0]->receive(ForwardingSimulation::refusal("a"));
    simulation.advance(retryTime);
    CHECK(simulation.usedConnections()[1]->requests().size() == 2);
    simulation.start("c");
    CHECK(simulation.usedConnections()[0]->requests().size() == 2);
    CHECK(simulation.usedConnections().size() == 2);
}

}
