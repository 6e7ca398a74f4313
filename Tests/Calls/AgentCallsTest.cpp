#include "Calls/AgentCalls.h"
#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <memory>

namespace Damaskgrade {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// An agent with two connected entries. The engine only records which runs were started and cancelled.
struct AgentFixture {
    explicit AgentFixture(AgentCallsSettings settings = {})
    {
        AgentCallsHooks hooks;
        hooks.startCall = [this](RunId run, const CallMessage&) { started.push_back(run); };
        hooks.cancelCall = [this](RunId run) { cancelled.push_back(run); };
        hooks.send = [this](std::uint64_t session, const AgentMessage& message) {
            const TicketsMessage* tickets = std::get_if<TicketsMessage>(&message);
            if (tickets)
                issuedTickets[session] += tickets->count;
            else
                sent.push_back(message);
        };
        calls = std::make_unique<AgentCalls>("a", "1", clock, settings, hooks);
        session = calls->openSession();
        otherSession = calls->openSession();
        calls->tick();
    }

    CallMessage message(std::uint64_t sequence)
    {
        CallMessage call;
        call.callId = "call" + std::to_string(sequence);
        call.attempt = 1;
        call.customer = "customer";
        call.ticket = { "a", "1", session, sequence };
        call.timeLeft = milliseconds(100);
        return call;
    }

    void receive(const CallMessage& call) { calls->receiveCall(session, call, clock.now()); }

    template <typename Message>
    Message last() const
    {
        REQUIRE(!sent.empty());
        return std::get<Message>(sent.back());
    }

    ResolutionMessage resolve(std::uint64_t sequence)
    {
        calls->receiveResolve(otherSession, { "query", message(sequence).ticket });
        return last<ResolutionMessage>();
    }

    ManualClock clock;
    std::unique_ptr<AgentCalls> calls;
    std::uint64_t session { 0 };
    std::uint64_t otherSession { 0 };
    std::vector<RunId> started;
    std::vector<RunId> cancelled;
    std::vector<AgentMessage> sent;
    std::map<std::uint64_t, std::uint64_t> issuedTickets;
};

}

// Guards against executing a call after its deadline: time that the call waits in the process must count.
TEST_CASE("an agent refuses a call whose deadline passed before it started")
{
    AgentFixture agent;
    TimePoint receivedAt = agent.clock.now();
    agent.clock.advance(milliseconds(100));
    agent.calls->receiveCall(agent.session, agent.message(1), receivedAt);
    CHECK(agent.last<RefusedMessage>().code == ResultCode::DeadlinePassed);
    CHECK(agent.started.empty());
}

// Guards against starting a call with a configuration version that is no longer in force.
TEST_CASE("an agent refuses a configuration version below the highest seen")
{
    AgentFixture agent;
    CallMessage call = agent.message(1);
    call.configurationVersion = 5;
    agent.receive(call);
    agent.receive(agent.message(2));
    CHECK(agent.last<RefusedMessage>().code == ResultCode::ConfigurationOutdated);
    CHECK(agent.started.size() == 1);
}

// Guards against starting a call that was reported as refused: the cause of the refusal may be gone when a
// duplicate of the call message arrives.
TEST_CASE("a refused call does not start from a duplicate")
{
    AgentFixture agent;
    agent.calls->engineFailed("lost");
    agent.receive(agent.message(1));
    CHECK(agent.last<RefusedMessage>().code == ResultCode::BackendServerRefused);
    agent.calls->engineAvailable();
    agent.receive(agent.message(1));
    CHECK(agent.started.empty());
}

// Guards against reporting a running call as refused because a duplicate of its message arrives.
TEST_CASE("a duplicate of a started call is ignored without a response")
{
    AgentFixture agent;
    agent.receive(agent.message(1));
    agent.receive(agent.message(1));
    CHECK(agent.started.size() == 1);
    CHECK(agent.sent.empty());
    CallMessage other = agent.message(1);
    other.callId = "other";
    agent.receive(other);
    CHECK(agent.last<RefusedMessage>().callId == "other");
}

// Guards against an entry that spends the tickets of another entry.
TEST_CASE("a ticket is valid only on the link that it was issued to")
{
    AgentFixture agent;
    agent.calls->receiveCall(agent.otherSession, agent.message(1), agent.clock.now());
    CHECK(agent.last<RefusedMessage>().code == ResultCode::TicketInvalid);
}

// Guards against streams that never end after their engine failed.
TEST_CASE("calls of a failed engine end with an error")
{
    AgentFixture agent;
    agent.receive(agent.message(1));
    agent.calls->engineText(1, "text");
    agent.calls->engineFailed("lost");
    CHECK(agent.last<EndMessage>().code == ResultCode::StreamInterrupted);
    CHECK(agent.last<EndMessage>().total == 4);
    CHECK(agent.calls->runningCalls() == 0);
}

// Guards against returning an empty answer instead of a discarded one, and against unlimited memory use.
TEST_CASE("answers are stored for a limited time and up to a maximum size")
{
    AgentCallsSettings settings;
    settings.maxAnswerBytes = 10;
    AgentFixture agent(settings);
    agent.receive(agent.message(1));
    agent.calls->engineText(1, "123456");
    agent.calls->engineEnd(1, ResultCode::Ok, {});
    CHECK(agent.resolve(1).answer == "123456");
    agent.receive(agent.message(2));
    agent.calls->engineText(2, "1234");
    CHECK(agent.resolve(1).state == CallState::Done);
    agent.calls->engineText(2, "5678");
    CHECK(agent.resolve(1).state == CallState::Unknown);
    agent.calls->engineText(2, "abcd");
    agent.calls->engineEnd(2, ResultCode::Ok, {});
    CHECK(agent.calls->answerBytes() == 0);
    CHECK(agent.resolve(2).state == CallState::Unknown);

    agent.receive(agent.message(3));
    agent.calls->engineEnd(3, ResultCode::Ok, {});
    CHECK(agent.resolve(3).state == CallState::Done);
    agent.clock.advance(seconds(61));
    agent.calls->tick();
    CHECK(agent.resolve(3).state == CallState::Unknown);
}

// Guards against missing text, duplicate text or text of another customer when a caller reconnects for the rest of
// a stream.
TEST_CASE("a stream can be fetched from an offset while it runs and after its end")
{
    AgentFixture agent;
    agent.receive(agent.message(1));
    agent.calls->engineText(1, "abcdef");
    agent.calls->receiveFetch(agent.otherSession, { "fetch", "call1", 4, "customer" });
    CHECK(agent.last<PartMessage>().text == "ef");
    CHECK(agent.last<PartMessage>().callId == "fetch");
    agent.calls->engineText(1, "gh");
    CHECK(agent.last<PartMessage>().offset == 6);
    agent.calls->engineEnd(1, ResultCode::Ok, {});
    CHECK(agent.last<EndMessage>().callId == "fetch");
    agent.calls->receiveFetch(agent.otherSession, { "again", "call1", 8, "customer" });
    CHECK(agent.last<EndMessage>().total == 8);
    agent.calls->receiveFetch(agent.otherSession, { "beyond", "call1", 9, "customer" });
    CHECK(agent.last<EndMessage>().code == ResultCode::StreamNotFound);
    agent.calls->receiveFetch(agent.otherSession, { "foreign", "call1", 0, "other" });
    CHECK(agent.last<EndMessage>().callId == "foreign");
    CHECK(agent.last<EndMessage>().code == ResultCode::StreamNotFound);
}

// Guards against a late cancel message that ends another attempt or the call of another entry.
TEST_CASE("a cancel message ends only the named attempt of the entry that sent it")
{
    AgentFixture agent;
    agent.receive(agent.message(1));
    agent.calls->receiveCancel(agent.otherSession, { "call1", 1 });
    agent.calls->receiveCancel(agent.session, { "call1", 2 });
    CHECK(agent.cancelled.empty());
    agent.calls->receiveCancel(agent.session, { "call1", 1 });
    CHECK(agent.cancelled.size() == 1);
}

// Guards against idle entries that keep slots unused, and against revoking tickets of active entries.
TEST_CASE("tickets are reclaimed from idle sessions but not from active ones")
{
    AgentCallsSettings settings;
    settings.slots = 16;
    AgentFixture agent(settings);
    CHECK(agent.issuedTickets[agent.session] + agent.issuedTickets[agent.otherSession] == 16);
    agent.calls->setSlots(2);
    agent.clock.advance(seconds(1));
    agent.calls->tick();
    CHECK(agent.calls->ledger().unspent(agent.session) == 8);
    agent.clock.advance(milliseconds(1500));
    agent.receive(agent.message(1));
    agent.calls->tick();
    CHECK(agent.calls->ledger().unspent(agent.session) == 7);
    CHECK(agent.calls->ledger().unspent(agent.otherSession) == 1);
}

// Guards against a drain that interrupts running calls or accepts new ones (requirements R13 and R14).
TEST_CASE("a drain refuses new calls, waits for running ones and reports when it is overdue")
{
    AgentFixture agent;
    agent.receive(agent.message(1));
    agent.calls->beginDrain();
    agent.receive(agent.message(2));
    CHECK(agent.last<RefusedMessage>().code == ResultCode::InstanceDraining);
    CHECK(agent.started.size() == 1);
    CHECK(agent.cancelled.empty());
    CHECK(agent.calls->drainState() == DrainState::Draining);
    agent.clock.advance(seconds(30));
    CHECK(agent.calls->drainState() == DrainState::Overdue);
    agent.calls->engineEnd(1, ResultCode::Ok, {});
    CHECK(agent.calls->drainState() == DrainState::Drained);
}

}
