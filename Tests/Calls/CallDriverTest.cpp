#include "Calls/CallDriver.h"
#include "CallsSimulation.h"
#include "Core/ManualClock.h"
#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>

namespace Damaskgrade {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A table that executes operations at once, or holds writes until release is called.
struct DirectTable : Table {
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        done(isUp ? table.read(keys) : TableReadResult());
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(table.scan(prefix)); }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        if (isHeld) {
            heldWrites.push_back([this, writes, done] { done(table.write(writes)); });
            return;
        }
        done(isUp ? table.write(writes) : TableWriteResult());
    }

    // Executes the first held write. Later writes are executed at once.
    void release()
    {
        isHeld = false;
        REQUIRE(!heldWrites.empty());
        heldWrites.front()();
    }

    MemoryTable table;
    bool isUp { true };
    bool isHeld { false };
    std::deque<std::function<void()>> heldWrites;
};

// One call at one entry. The test sends the messages of the agents. A call that is not idempotent is named a booking
// in these tests.
struct DriverFixture {
    explicit DriverFixture(bool isIdempotent, CallKind kind = CallKind::Service)
    {
        request.callId = "call";
        request.kind = kind;
        request.isIdempotent = isIdempotent;
        request.idempotencyKey = isIdempotent ? "" : "key";
        request.deadline = clock.now() + seconds(20);
        tickets = { { "a", "1", 1, 1 }, { "b", "1", 1, 1 }, { "c", "1", 1, 1 } };
    }

    void start()
    {
        CallDriverHooks hooks;
        hooks.takeTicket = [this](const CallRequest&, const std::set<std::string>&) -> std::optional<Ticket> {
            if (tickets.empty())
                return std::nullopt;
            Ticket ticket = tickets.front();
            tickets.pop_front();
            return ticket;
        };
        hooks.returnTicket = [this](const Ticket& ticket) { tickets.push_front(ticket); };
        hooks.send = [this](const std::string& agent, const EntryMessage& message) {
            if (unreachable.count(agent))
                return false;
            sent.push_back(message);
            return true;
        };
        hooks.configurationVersion = [] { return 1; };
        hooks.onText = [this](std::string_view text, const std::string&, std::uint64_t) { deliveredText += text; };
        hooks.onOutcome = [this](const CallOutcome& outcome) { outcomes.push_back(outcome); };
        driver = std::make_unique<CallDriver>(request, clock, claims, budget, hedges, CallDriverSettings(), hooks);
        driver->start();
    }

    void advance(Duration step)
    {
        clock.advance(step);
        driver->tick();
    }

    void answer(std::uint32_t attempt, const std::string& text)
    {
        driver->receivePart({ "call", attempt, 0, text });
        driver->receiveEnd({ "call", attempt, text.size(), ResultCode::Ok, {} });
    }

    // Spends all available retries and returns their number. maxSpent ends the loop if the budget is unlimited.
    int spendRetries()
    {
        int spent = 0;
        while (spent < maxSpent && budget.trySpend())
            ++spent;
        return spent;
    }

    // Spends all available retries after refusals and returns their number.
    int spendRefusalRetries()
    {
        int spent = 0;
        while (spent < maxSpent && budget.trySpendAfterRefusal())
            ++spent;
        return spent;
    }

    static constexpr int maxSpent = 10000;

    template <typename Message>
    std::vector<Message> sentMessages() const
    {
        std::vector<Message> messages;
        for (const EntryMessage& message : sent) {
            if (const Message* found = std::get_if<Message>(&message))
                messages.push_back(*found);
        }
        return messages;
    }

    ClaimRecord row()
    {
        TableReadResult rows = table.table.scan("claim/");
        return rows.rows.empty() ? ClaimRecord() : decodeClaim(rows.rows.front().value);
    }

    ManualClock clock;
    DirectTable table;
    ClaimStore claims { table };
    RetryBudget budget { clock };
    HedgePolicy hedges;
    CallRequest request;
    std::deque<Ticket> tickets;
    std::set<std::string> unreachable;
    std::vector<EntryMessage> sent;
    std::string deliveredText;
    std::vector<CallOutcome> outcomes;
    std::unique_ptr<CallDriver> driver;
};

}

// Guards against bookings that can't be recognized when the caller retries them.
TEST_CASE("a call that is not idempotent needs an idempotency key")
{
    DriverFixture fixture(false);
    fixture.request.idempotencyKey.clear();
    fixture.start();
    CHECK(fixture.outcomes.at(0).code == ResultCode::MissingIdempotencyKey);
    CHECK(fixture.sent.empty());
}

// Guards against sending a call before its claim is written, and against an answer that is not available to retries.
TEST_CASE("a booking is claimed before it is sent and its answer is stored")
{
    DriverFixture fixture(false);
    fixture.table.isHeld = true;
    fixture.start();
    CHECK(fixture.sent.empty());
    fixture.table.release();
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);
    CHECK(fixture.row().state == ClaimState::Claimed);
    fixture.answer(1, "booked");
    CHECK(fixture.outcomes.at(0).answer == "booked");
    CHECK(fixture.row().state == ClaimState::Done);
    CHECK(fixture.row().answer == "booked");
}

// Guards against a booking without a claim while the table is unavailable, and against reusing a ticket that a late
// claim write may still store.
TEST_CASE("a booking is refused while the table is unavailable")
{
    DriverFixture fixture(false);
    fixture.table.isUp = false;
    fixture.start();
    CHECK(fixture.outcomes.at(0).code == ResultCode::TableUnavailable);
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    CHECK(fixture.sentMessages<CallMessage>().empty());
    CHECK(fixture.sentMessages<ResolveMessage>().at(0).ticket.agent == "a");
    CHECK(fixture.tickets.size() == 2);
}

// Guards against a send, a second outcome or a key that stays claimed if the claim write ends after the deadline.
TEST_CASE("a claim that is written after the deadline is released and its ticket is not used")
{
    DriverFixture fixture(false);
    fixture.table.isHeld = true;
    fixture.start();
    fixture.advance(seconds(21));
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    fixture.table.release();
    CHECK(fixture.sentMessages<CallMessage>().empty());
    CHECK(fixture.sentMessages<ResolveMessage>().size() == 1);
    CHECK(fixture.row().state == ClaimState::Released);

    DriverFixture late(false);
    late.table.isHeld = true;
    late.start();
    late.advance(seconds(21));
    ClaimRecord otherClaim;
    otherClaim.owner = "other";
    late.table.table.write({ { claimRowKey("", "", "", "key"), encodeClaim(otherClaim), std::nullopt } });
    late.table.release();
    late.advance(seconds(1));
    CHECK(late.outcomes.size() == 1);
}

// Guards against a key that stays claimed although no attempt was started.
TEST_CASE("a booking that was not executed releases its claim")
{
    DriverFixture fixture(false);
    fixture.tickets.resize(1);
    fixture.start();
    fixture.driver->receiveRefused({ "call", 1, ResultCode::InstanceDraining, {} });
    fixture.advance(seconds(21));
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    CHECK(fixture.row().state == ClaimState::Released);
}

// Guards against executing a booking twice: after a lost link, its ticket must be resolved before any retry.
TEST_CASE("a booking whose link closed is resolved and not retried")
{
    DriverFixture fixture(false);
    fixture.start();
    fixture.driver->linkClosed("a");
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);
    CHECK(fixture.sentMessages<ResolveMessage>().size() == 1);
    fixture.driver->receiveResolution({ "call/0", CallState::NotStarted, ResultCode::Ok, {} });
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);
    fixture.driver->receiveResolution({ "call/1", CallState::Running, ResultCode::Ok, {} });
    CHECK(fixture.outcomes.empty());
    fixture.driver->receiveResolution({ "call/1", CallState::Done, ResultCode::Ok, "booked" });
    CHECK(fixture.outcomes.at(0).answer == "booked");
}

// Guards against a caller that waits until its deadline although the agent is unreachable.
TEST_CASE("the outcome of a booking at an agent that stays unreachable is unknown")
{
    DriverFixture fixture(false);
    fixture.start();
    fixture.unreachable = { "a" };
    fixture.driver->linkClosed("a");
    fixture.advance(seconds(2));
    CHECK(fixture.outcomes.empty());
    fixture.advance(seconds(2));
    CHECK(fixture.outcomes.at(0).code == ResultCode::OutcomeUnknown);
    CHECK(fixture.outcomes.at(0).executed == Executed::Unknown);
    CHECK(fixture.row().state == ClaimState::Claimed);
}

// Guards against cancelling a sent booking, which would make its outcome unknown, and against sending a booking after
// its caller disconnected.
TEST_CASE("a booking continues after its caller disconnected only if it was sent")
{
    DriverFixture fixture(false);
    fixture.start();
    fixture.driver->cancel();
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.sentMessages<CancelMessage>().empty());
    fixture.answer(1, "booked");
    CHECK(fixture.row().answer == "booked");

    DriverFixture waiting(false);
    waiting.table.isHeld = true;
    waiting.start();
    waiting.driver->cancel();
    waiting.table.release();
    CHECK(waiting.sentMessages<CallMessage>().empty());
    CHECK(waiting.outcomes.at(0).code == ResultCode::Cancelled);
    CHECK(waiting.outcomes.at(0).executed == Executed::No);
}

// Guards against engines that keep generating text for callers that disconnected.
TEST_CASE("a stream is cancelled when its caller disconnects")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.driver->cancel();
    CHECK(fixture.sentMessages<CancelMessage>().size() == 1);
    CHECK(fixture.outcomes.at(0).executed == Executed::Unknown);
}

// Guards against duplicate or missing text after the link to the agent of a stream closed.
TEST_CASE("a stream is resumed at another agent with the text received so far")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.driver->receivePart({ "call", 1, 0, "abc" });
    fixture.driver->linkClosed("a");
    CHECK(fixture.sentMessages<CallMessage>().at(1).resumeText == "abc");
    fixture.driver->receivePart({ "call", 1, 3, "OLD" });
    fixture.driver->receivePart({ "call", 2, 3, "def" });
    fixture.driver->receiveEnd({ "call", 2, 6, ResultCode::Ok, {} });
    CHECK(fixture.deliveredText == "abcdef");
    CHECK(fixture.outcomes.at(0).code == ResultCode::Ok);
}

// Guards against streams that wait for a stalled engine until their deadline.
TEST_CASE("a stream without progress is sent to another agent")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.advance(seconds(4));
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);
    fixture.advance(seconds(2));
    CHECK(fixture.sentMessages<CallMessage>().size() == 2);
    CHECK(fixture.sentMessages<CancelMessage>().size() == 1);
}

// Guards against a prompt that crashes engine after engine because its call is repeated at each.
TEST_CASE("a call whose engines fail before any text is sent to at most two engines")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt)
        fixture.driver->receiveEnd({ "call", attempt, 0, ResultCode::BackendServerFailed, "connection to the engine failed" });
    CHECK(fixture.sentMessages<CallMessage>().size() == 2);
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes[0].code == ResultCode::BackendServerFailed);
    CHECK(fixture.outcomes[0].executed == Executed::Unknown);
}

// Guards against a long stream that ends although each engine continued it before it failed.
TEST_CASE("engine failures are counted since the last text")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    for (std::uint32_t attempt = 1; attempt <= 2; ++attempt) {
        fixture.driver->receivePart({ "call", attempt, 2 * (attempt - 1), "ab" });
        fixture.driver->receiveEnd({ "call", attempt, 0, ResultCode::BackendServerFailed, "connection to the engine failed" });
    }
    CHECK(fixture.sentMessages<CallMessage>().size() == 3);
    CHECK(fixture.outcomes.empty());
}

// Guards against a fetch that never ends, and against text that is delivered twice.
TEST_CASE("the rest of a stream is fetched from the named agent")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.request.position = StreamPosition { "b", "original", 3 };
    fixture.start();
    CHECK(fixture.sentMessages<FetchMessage>().at(0).offset == 3);
    fixture.driver->receivePart({ "call", 0, 3, "def" });
    fixture.driver->linkClosed("b");
    fixture.advance(milliseconds(10));
    CHECK(fixture.sentMessages<FetchMessage>().at(1).offset == 6);
    fixture.driver->receivePart({ "call", 0, 3, "def" });
    CHECK(fixture.deliveredText == "def");
    fixture.advance(seconds(5));
    CHECK(fixture.outcomes.at(0).code == ResultCode::StreamInterrupted);
}

// Guards against a wrong outcome and against a delay if there is no link to the selected agent.
TEST_CASE("a call is sent to another agent if there is no link")
{
    DriverFixture fixture(true);
    fixture.unreachable = { "a" };
    fixture.start();
    CHECK(fixture.sent.empty());
    fixture.advance(milliseconds(10));
    CHECK(fixture.sentMessages<CallMessage>().at(0).ticket.agent == "b");
    CHECK(fixture.driver->sends() == 1);
}

// Guards against reporting "not executed" for a call that may have been started.
TEST_CASE("a call is reported as not executed only if it is certain that no attempt started")
{
    DriverFixture refused(true);
    refused.start();
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt)
        refused.driver->receiveRefused({ "call", attempt, ResultCode::BackendServerRefused, {} });
    refused.advance(seconds(21));
    CHECK(refused.outcomes.at(0).executed == Executed::No);

    DriverFixture lost(true);
    lost.start();
    lost.driver->linkClosed("a");
    lost.driver->receiveRefused({ "call", 2, ResultCode::BackendServerRefused, {} });
    lost.advance(seconds(21));
    CHECK(lost.outcomes.at(0).executed == Executed::Unknown);

    // An earlier request of the caller may be in a paused entry.
    DriverFixture retried(true);
    retried.request.mayBeRetry = true;
    retried.tickets.clear();
    retried.start();
    retried.advance(seconds(21));
    CHECK(retried.outcomes.at(0).executed == Executed::Unknown);
}

// Guards against reporting "not executed" for a key that another entry may have executed, against taking over a claim
// whose ticket may still start a call, and against waiting for an owner that crashed.
TEST_CASE("the claim of another owner is resolved at its agent before it is taken over")
{
    ClaimRecord otherClaim;
    otherClaim.fingerprint = requestFingerprint("", "");
    otherClaim.attempt = 1;
    otherClaim.owner = "other";
    otherClaim.ticket = { "b", "1", 7, 9 };

    DriverFixture fixture(false);
    fixture.table.table.write({ { claimRowKey("", "", "", "key"), encodeClaim(otherClaim), std::nullopt } });
    fixture.start();
    fixture.advance(milliseconds(300));
    // A slow owner must have time to send its call.
    CHECK(fixture.sent.empty());
    fixture.advance(milliseconds(300));
    CHECK(fixture.sentMessages<ResolveMessage>().at(0).ticket == otherClaim.ticket);
    fixture.driver->receiveResolution({ "call/1", CallState::Running, ResultCode::Ok, {} });
    CHECK(fixture.sentMessages<CallMessage>().empty());
    fixture.driver->receiveResolution({ "call/1", CallState::NotStarted, ResultCode::Ok, {} });
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);
    CHECK(fixture.row().owner == "call");
    CHECK(fixture.row().attempt == 2);

    DriverFixture waiting(false);
    waiting.table.table.write({ { claimRowKey("", "", "", "key"), encodeClaim(otherClaim), std::nullopt } });
    waiting.start();
    waiting.advance(seconds(21));
    CHECK(waiting.outcomes.at(0).code == ResultCode::DeadlinePassed);
    CHECK(waiting.outcomes.at(0).executed == Executed::Unknown);
}

// Guards against a retry storm during an outage.
TEST_CASE("retries end when the budget is spent, and unused retries accumulate only up to a maximum")
{
    DriverFixture fixture(true);
    fixture.start();
    fixture.spendRetries();
    fixture.driver->linkClosed("a");
    CHECK(fixture.outcomes.at(0).code == ResultCode::RetryBudgetSpent);
    CHECK(fixture.outcomes.at(0).executed == Executed::Unknown);
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);

    for (int call = 0; call < 1000; ++call)
        fixture.budget.recordCall();
    CHECK(fixture.spendRetries() == 20);
}

// Guards against calls that fail because retries after refusals and after lost answers share one budget.
TEST_CASE("retries after refusals have a separate budget")
{
    DriverFixture refused(true);
    refused.start();
    refused.spendRetries();
    refused.driver->receiveRefused({ "call", 1, ResultCode::BackendServerRefused, {} });
    CHECK(refused.sentMessages<CallMessage>().size() == 2);
    refused.answer(2, "found");
    CHECK(refused.outcomes.at(0).code == ResultCode::Ok);

    DriverFixture lost(true);
    lost.start();
    lost.spendRefusalRetries();
    lost.driver->linkClosed("a");
    CHECK(lost.sentMessages<CallMessage>().size() == 2);
}

// Guards against a booking that runs twice: a second copy of a refusal that is taken for the refusal of the next attempt.
TEST_CASE("a second copy of a refusal does not refuse the next attempt")
{
    DriverFixture fixture(false);
    fixture.start();
    RefusedMessage refusal { "call", 1, ResultCode::BackendServerRefused, {} };
    fixture.driver->receiveRefused(refusal);
    REQUIRE(fixture.sentMessages<CallMessage>().size() == 2);
    fixture.driver->receiveRefused(refusal);
    CHECK(fixture.sentMessages<CallMessage>().size() == 2);
    fixture.answer(2, "booked");
    CHECK(fixture.outcomes.at(0).code == ResultCode::Ok);
}

// Guards against a call that is ended because its engine is silent, although no other agent can take it.
TEST_CASE("a silent call is ended only if another agent can take it")
{
    constexpr Duration stall = seconds(6);
    for (CallKind kind : { CallKind::Service, CallKind::Completion }) {
        DriverFixture fixture(true, kind);
        fixture.start();
        SUBCASE("the retry budget is spent")
        {
            fixture.budget.configure({ 0, 0 });
            fixture.spendRetries();
        }
        SUBCASE("no ticket is available") { fixture.tickets.clear(); }
        SUBCASE("the only ticket is of the same agent") { fixture.tickets = { { "a", "1", 1, 2 } }; }
        SUBCASE("the agent reports that its engine is stalled")
        {
            fixture.tickets.clear();
            fixture.driver->engineStalled("a");
        }
        std::size_t tickets = fixture.tickets.size();
        fixture.advance(stall);
        CHECK(fixture.sentMessages<CancelMessage>().empty());
        CHECK(fixture.tickets.size() == tickets);
        CHECK(fixture.outcomes.empty());
        fixture.answer(1, "found");
        REQUIRE(fixture.outcomes.size() == 1);
        CHECK(fixture.outcomes.at(0).code == ResultCode::Ok);
    }
}

// Guards against a retry storm while all agents refuse calls.
TEST_CASE("retries after refusals end unless agents start calls")
{
    DriverFixture fixture(true);
    fixture.start();
    fixture.spendRefusalRetries();
    for (int call = 0; call < 1000; ++call)
        fixture.budget.recordCall();
    fixture.clock.advance(seconds(10));
    fixture.driver->receiveRefused({ "call", 1, ResultCode::BackendServerRefused, {} });
    CHECK(fixture.outcomes.at(0).code == ResultCode::RetryBudgetSpent);
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);

    for (int call = 0; call < 1000; ++call)
        fixture.budget.recordStarted();
    CHECK(fixture.spendRefusalRetries() == 20);
}

// Guards against a refusal budget that grows with each part of a stream, or not at all.
TEST_CASE("a started attempt adds two retries to the refusal budget")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.spendRefusalRetries();
    fixture.driver->receivePart({ "call", 1, 0, "one " });
    fixture.driver->receivePart({ "call", 1, 4, "two" });
    fixture.driver->receiveEnd({ "call", 1, 7, ResultCode::Ok, {} });
    CHECK(fixture.outcomes.at(0).code == ResultCode::Ok);
    CHECK(fixture.spendRefusalRetries() == 2);
}

// Guards against one call that is always refused and uses up the refusal budget of other calls.
TEST_CASE("a call fails after a maximum number of refusals")
{
    DriverFixture fixture(true);
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence)
        fixture.tickets.push_back({ "a", "1", 1, sequence });
    fixture.start();
    for (std::uint32_t attempt = 1; fixture.outcomes.empty(); ++attempt)
        fixture.driver->receiveRefused({ "call", attempt, ResultCode::BackendServerRefused, {} });
    CHECK(fixture.sentMessages<CallMessage>().size() == 9);
    CHECK(fixture.outcomes.at(0).code == ResultCode::RetryBudgetSpent);
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    CHECK(fixture.budget.trySpendAfterRefusal());
}

// Guards against hedges that are sent too early, twice, to the same agent, or without a retry budget.
TEST_CASE("an idempotent service call is hedged once after the observed percentile")
{
    DriverFixture fixture(true);
    for (int sample = 0; sample < 39; ++sample)
        fixture.hedges.observe(milliseconds(100));
    CHECK(!fixture.hedges.delay());
    fixture.hedges.observe(milliseconds(500));
    CHECK(fixture.hedges.delay() == Duration(milliseconds(100)));
    fixture.start();
    fixture.advance(milliseconds(90));
    CHECK(fixture.sentMessages<CallMessage>().size() == 1);
    fixture.advance(milliseconds(20));
    fixture.advance(milliseconds(200));
    CHECK(fixture.sentMessages<CallMessage>().size() == 2);
    fixture.answer(2, "found");
    CHECK(fixture.outcomes.at(0).answer == "found");
    CHECK(fixture.sentMessages<CancelMessage>().at(0).attempt == 1);

    DriverFixture limited(true);
    for (int sample = 0; sample < 40; ++sample)
        limited.hedges.observe(milliseconds(100));
    limited.spendRetries();
    limited.start();
    limited.advance(milliseconds(300));
    CHECK(limited.sentMessages<CallMessage>().size() == 1);
    CHECK(limited.tickets.size() == 2);

    DriverFixture same(true);
    for (int sample = 0; sample < 40; ++sample)
        same.hedges.observe(milliseconds(100));
    same.tickets = { { "a", "1", 1, 1 }, { "a", "1", 1, 2 } };
    same.start();
    same.advance(milliseconds(300));
    CHECK(same.sentMessages<CallMessage>().size() == 1);
    CHECK(same.tickets.size() == 1);
}

// Guards against returning the answer of another request that used the same key.
TEST_CASE("a key that is reused for another request is refused")
{
    DriverFixture fixture(false);
    ClaimRecord record;
    record.state = ClaimState::Done;
    record.answer = "other";
    fixture.table.table.write({ { claimRowKey("", "", "", "key"), encodeClaim(record), std::nullopt } });
    fixture.start();
    CHECK(fixture.outcomes.at(0).code == ResultCode::IdempotencyKeyReused);
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    // The ticket was returned.
    CHECK(fixture.tickets.size() == 3);
}

}
