#include "Forwarding/ForwardingSimulation.h"

#include <doctest/doctest.h>

#include <string>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

// Longer than the time after which a silent stream may be sent to another server, and shorter than twice that time.
constexpr milliseconds silence { 1300 };
// The same for a silent idempotent request.
constexpr milliseconds shortSilence { 450 };

// A stream with a silent server, beside another stream whose server makes progress.
class StreamFixture {
public:
    explicit StreamFixture(std::uint32_t maxAttempts, std::size_t serverCount = 4, std::uint32_t slots = 8)
        : simulation(RequestKind::Streaming, maxAttempts, serverCount, slots)
        , other(simulation.start("other"))
        , caller(simulation.start("a"))
        , first(simulation.usedConnections().at(1))
    {
        otherConnection()->receive(ForwardingSimulation::streamHead("other"));
        first->receive(ForwardingSimulation::streamHead("a") + ForwardingSimulation::event(1) + ForwardingSimulation::event(2));
    }

    // Advances the clock while only the server of the other stream sends events.
    void advance(milliseconds time)
    {
        constexpr milliseconds eventPeriod { 50 };
        for (milliseconds passed { 0 }; passed < time; passed += eventPeriod) {
            otherConnection()->receive(ForwardingSimulation::event(++otherEvents));
            simulation.advance(eventPeriod);
        }
    }

    std::shared_ptr<SimulatedConnection> otherConnection() const { return simulation.usedConnections().at(0); }

    // The connection of the second server to which the stream was sent.
    std::shared_ptr<SimulatedConnection> second() const { return simulation.usedConnections().at(2); }

    // Returns whether the caller has received exactly the events up to this number, in order, and the bytes behind them.
    bool hasEventsUpTo(int last, const std::string& rest = "") const
    {
        std::string expected;
        for (int number = 1; number <= last; ++number)
            expected += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
        return caller->body() == expected + rest;
    }

    ForwardingSimulation simulation;
    int otherEvents { 0 };
    std::shared_ptr<SimulatedExchange> other;
    std::shared_ptr<SimulatedExchange> caller;
    std::shared_ptr<SimulatedConnection> first;
};

}

// Guards against a stream that is cut while its server is only silent and no further attempt is permitted.
TEST_CASE("a silent stream without an attempt left is not ended")
{
    StreamFixture fixture(2);
    fixture.advance(silence);
    REQUIRE(fixture.simulation.usedConnections().size() == 3);
    CHECK(fixture.second()->requests().front().find("Last-Event-Id: 2\r\n") != std::string::npos);
    fixture.second()->receive(ForwardingSimulation::streamHead("a") + ForwardingSimulation::event(3));
    CHECK_FALSE(fixture.first->isOpen());
    fixture.advance(silence);
    CHECK_FALSE(fixture.caller->isAborted());
    fixture.second()->receive(ForwardingSimulation::event(4) + ForwardingSimulation::streamEnd());
    CHECK(fixture.hasEventsUpTo(4));
    CHECK(fixture.caller->isStreamComplete());
    CHECK(fixture.simulation.usedConnections().size() == 3);
}

// Guards against a stream that is cut because the retry budget is spent.
TEST_CASE("a silent stream is not ended while the retry budget is spent")
{
    StreamFixture fixture(3);
    fixture.simulation.retryBudget.configure({ 0, 0 });
    fixture.advance(silence);
    CHECK(fixture.simulation.sentRequests() == 2);
    CHECK_FALSE(fixture.caller->isAborted());
    fixture.first->receive(ForwardingSimulation::event(3) + ForwardingSimulation::streamEnd());
    CHECK(fixture.hasEventsUpTo(3));
    CHECK(fixture.caller->isStreamComplete());
}

// Guards against a stream that gives up its server while no other server is free.
TEST_CASE("a silent stream is not ended while no other server is free")
{
    StreamFixture fixture(3, 2, 1);
    fixture.advance(silence);
    CHECK(fixture.first->isOpen());
    fixture.first->receive(ForwardingSimulation::event(3) + ForwardingSimulation::streamEnd());
    CHECK(fixture.hasEventsUpTo(3));
    CHECK(fixture.caller->isStreamComplete());
}

// Guards against a server that is given up before the next one has proven that it can continue.
TEST_CASE("a silent stream continues at its server if the next one fails")
{
    StreamFixture fixture(3);
    SUBCASE("it accepts no connection")
    {
        fixture.simulation.setAcceptsConnections(false);
        fixture.advance(silence);
    }
    SUBCASE("it refuses the request")
    {
        fixture.advance(silence);
        fixture.second()->receive(ForwardingSimulation::refusal("a"));
    }
    SUBCASE("its connection breaks")
    {
        fixture.advance(silence);
        fixture.second()->fail();
    }
    SUBCASE("it is silent")
    {
        fixture.advance(silence);
        fixture.second()->receive(ForwardingSimulation::streamHead("a"));
        fixture.advance(silence);
    }
    CHECK(fixture.first->isOpen());
    fixture.first->receive(ForwardingSimulation::event(3) + ForwardingSimulation::streamEnd());
    CHECK(fixture.hasEventsUpTo(3));
    CHECK(fixture.caller->isStreamComplete());
    CHECK_FALSE(fixture.caller->isAborted());
}

// Guards against events that are lost, repeated or joined from two servers, and against a server that works on in vain.
TEST_CASE("a stream at two servers continues at the one that sends an event first, and is closed at the other")
{
    StreamFixture fixture(3);
    fixture.advance(silence);
    fixture.second()->receive(ForwardingSimulation::streamHead("a"));
    std::shared_ptr<SimulatedConnection> winner = fixture.first;
    std::shared_ptr<SimulatedConnection> loser = fixture.second();
    SUBCASE("the first server") { }
    SUBCASE("the second server") { std::swap(winner, loser); }
    std::string event = ForwardingSimulation::event(3);
    winner->receive(event.substr(0, event.size() / 2));
    CHECK(loser->isOpen());
    winner->receive(event.substr(event.size() / 2));
    CHECK_FALSE(loser->isOpen());
    loser->receive(ForwardingSimulation::event(3) + ForwardingSimulation::event(4));
    winner->receive(ForwardingSimulation::event(4) + ForwardingSimulation::streamEnd());
    CHECK(fixture.hasEventsUpTo(4));
    CHECK(fixture.caller->isStreamComplete());
}

// Guards against a stream that is taken as broken off, or as whole, at one of two servers only.
TEST_CASE("a silent stream whose server ends it behind its last event is whole, and within an event continues at the other server")
{
    StreamFixture fixture(3);
    fixture.advance(silence);
    fixture.second()->receive(ForwardingSimulation::streamHead("a"));
    std::string rest;
    SUBCASE("with an empty line") { rest = "\n"; }
    SUBCASE("with a comment") { rest = ": comment\n"; }
    SUBCASE("with a field of the next event") { rest = "id: 3\n"; }
    fixture.first->receive(ForwardingSimulation::chunk(rest) + ForwardingSimulation::streamEnd());
    bool isWhole = rest != "id: 3\n";
    CHECK(fixture.second()->isOpen() != isWhole);
    if (!isWhole)
        fixture.second()->receive(ForwardingSimulation::event(3) + ForwardingSimulation::streamEnd());
    CHECK(fixture.hasEventsUpTo(isWhole ? 2 : 3, isWhole ? rest : ""));
    CHECK(fixture.caller->isStreamComplete());
}

// Guards against a request that is sent on by the failure of a server that it no longer needs.
TEST_CASE("a stream at two servers continues at the second one if the first one breaks")
{
    StreamFixture fixture(3);
    fixture.advance(silence);
    fixture.first->fail();
    fixture.second()->receive(ForwardingSimulation::streamHead("a") + ForwardingSimulation::event(3) + ForwardingSimulation::streamEnd());
    CHECK(fixture.hasEventsUpTo(3));
    CHECK(fixture.caller->isStreamComplete());
    CHECK(fixture.simulation.usedConnections().size() == 3);
}

// Guards against servers that work on for a caller that has left.
TEST_CASE("when the caller of a stream at two servers leaves, both connections are closed")
{
    StreamFixture fixture(3);
    fixture.advance(silence);
    REQUIRE(fixture.second()->isOpen());
    fixture.caller->disconnect();
    CHECK_FALSE(fixture.first->isOpen());
    CHECK_FALSE(fixture.second()->isOpen());
}

// Guards against a response that is thrown away because its server was slow, and against one of two responses that is lost.
TEST_CASE("a silent idempotent request is answered by the server that responds first")
{
    ForwardingSimulation simulation(RequestKind::Idempotent, 2, 3);
    std::shared_ptr<SimulatedExchange> caller = simulation.start("a");
    simulation.advance(shortSilence);
    REQUIRE(simulation.usedConnections().size() == 2);
    std::shared_ptr<SimulatedConnection> first = simulation.usedConnections()[0];
    std::shared_ptr<SimulatedConnection> second = simulation.usedConnections()[1];
    SUBCASE("the first server")
    {
        first->receive(ForwardingSimulation::success("a", "right"));
        CHECK_FALSE(second->isOpen());
    }
    SUBCASE("the second server")
    {
        second->receive(ForwardingSimulation::success("a", "right"));
        CHECK_FALSE(first->isOpen());
    }
    SUBCASE("the first server, after the second one has failed")
    {
        second->fail();
        CHECK(caller->status() == 0);
        first->receive(ForwardingSimulation::success("a", "right"));
    }
    SUBCASE("the second server, after the first one has sent a response without a signature")
    {
        first->receive("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n\r\nwrong");
        CHECK(caller->status() == 0);
        second->receive(ForwardingSimulation::success("a", "right"));
    }
    SUBCASE("the second server, after the response of the first one has broken off")
    {
        std::string response = ForwardingSimulation::success("a", "wrong");
        first->receive(response.substr(0, response.size() - 2));
        first->fail();
        CHECK(caller->status() == 0);
        second->receive(ForwardingSimulation::success("a", "right"));
    }
    SUBCASE("the second server, after the first one has refused the request")
    {
        first->receive(ForwardingSimulation::refusal("a"));
        second->receive(ForwardingSimulation::success("a", "right"));
    }
    CHECK(caller->status() == 200);
    CHECK(caller->body() == "right");
    CHECK(simulation.sentRequests() == 2);
}

// Guards against a second execution that neither the budget nor a free server permits.
TEST_CASE("a silent idempotent request is not sent again while the retry budget is spent")
{
    ForwardingSimulation simulation(RequestKind::Idempotent, 2, 3);
    simulation.retryBudget.configure({ 0, 0 });
    std::shared_ptr<SimulatedExchange> caller = simulation.start("a");
    simulation.advance(shortSilence);
    CHECK(simulation.sentRequests() == 1);
    CHECK(caller->status() == 0);
    simulation.usedConnections()[0]->receive(ForwardingSimulation::success("a", "right"));
    CHECK(caller->status() == 200);
}

}
