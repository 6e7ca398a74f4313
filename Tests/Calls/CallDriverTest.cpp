#include "Calls/CallDriver.h"
#include "CallsWorld.h"
#include "Core/ManualClock.h"
#include "Platform/MemoryTable.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>

namespace Damaskgrade {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A table that answers at once, or holds its answers until told.
struct DirectTable : Table {
    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        done(isUp ? table.read(keys) : TableReadResult());
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override { done(table.scan(prefix)); }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        if (isHeld) {
            held.push_back([this, writes, done] { done(table.write(writes)); });
            return;
        }
        done(isUp ? table.write(writes) : TableWriteResult());
    }

    // Lets the first held write through.
    void release()
    {
        isHeld = false;
        REQUIRE(!held.empty());
        held.front()();
    }

    MemoryTable table;
    bool isUp { true };
    bool isHeld { false };
    std::deque<std::function<void()>> held;
};

// One call at one entry; the test plays the agents.
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
        hooks.onText = [this](std::string_view text, const std::string&, std::uint64_t) { passedOn += text; };
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

    // Spends all saved retries and returns their number. The bound ends the loop if a budget has no end.
    int spendRetries()
    {
        int spent = 0;
        while (spent < maxSpent && budget.trySpend())
            ++spent;
        return spent;
    }

    // The same for the allowance after refusals.
    int spendRefused()
    {
        int spent = 0;
        while (spent < maxSpent && budget.trySpendRefused())
            ++spent;
        return spent;
    }

    static constexpr int maxSpent = 10000;

    template <typename Message>
    std::vector<Message> sentOf() const
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
    std::string passedOn;
    std::vector<CallOutcome> outcomes;
    std::unique_ptr<CallDriver> driver;
};

}

// Guards against a booking that can't be recognized when it is repeated.
TEST_CASE("a call that must not be repeated needs a key")
{
    DriverFixture fixture(false);
    fixture.request.idempotencyKey.clear();
    fixture.start();
    CHECK(fixture.outcomes.at(0).code == ResultCode::MissingIdempotencyKey);
    CHECK(fixture.sent.empty());
}

// Guards against a send before the claim is in force, and against an answer that the next caller can't get.
TEST_CASE("a booking is claimed before it is sent and its answer is stored")
{
    DriverFixture fixture(false);
    fixture.table.isHeld = true;
    fixture.start();
    CHECK(fixture.sent.empty());
    fixture.table.release();
    CHECK(fixture.sentOf<CallMessage>().size() == 1);
    CHECK(fixture.row().state == ClaimState::Claimed);
    fixture.answer(1, "booked");
    CHECK(fixture.outcomes.at(0).answer == "booked");
    CHECK(fixture.row().state == ClaimState::Done);
    CHECK(fixture.row().answer == "booked");
}

// Guards against a booking during an outage, and against the use of a ticket that a late claim write names.
TEST_CASE("a booking is refused while the table is unavailable")
{
    DriverFixture fixture(false);
    fixture.table.isUp = false;
    fixture.start();
    CHECK(fixture.outcomes.at(0).code == ResultCode::TableUnavailable);
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    CHECK(fixture.sentOf<CallMessage>().empty());
    CHECK(fixture.sentOf<ResolveMessage>().at(0).ticket.agent == "a");
    CHECK(fixture.tickets.size() == 2);
}

// Guards against a send, a second outcome or a blocked key when the claim write ends after the deadline.
TEST_CASE("a claim that is written after the deadline is released and not used")
{
    DriverFixture fixture(false);
    fixture.table.isHeld = true;
    fixture.start();
    fixture.advance(seconds(21));
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    fixture.table.release();
    CHECK(fixture.sentOf<CallMessage>().empty());
    CHECK(fixture.sentOf<ResolveMessage>().size() == 1);
    CHECK(fixture.row().state == ClaimState::Released);

    DriverFixture late(false);
    late.table.isHeld = true;
    late.start();
    late.advance(seconds(21));
    ClaimRecord foreign;
    foreign.owner = "other";
    late.table.table.write({ { claimRowKey("", "", "", "key"), encodeClaim(foreign), std::nullopt } });
    late.table.release();
    late.advance(seconds(1));
    CHECK(late.outcomes.size() == 1);
}

// Guards against a claim that keeps its key although no attempt was started.
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

// Guards against a second execution: a lost booking is resolved before anything else is sent.
TEST_CASE("a booking whose link closed is resolved and not repeated")
{
    DriverFixture fixture(false);
    fixture.start();
    fixture.driver->linkClosed("a");
    CHECK(fixture.sentOf<CallMessage>().size() == 1);
    CHECK(fixture.sentOf<ResolveMessage>().size() == 1);
    fixture.driver->receiveResolution({ "call/0", CallState::NotStarted, ResultCode::Ok, {} });
    CHECK(fixture.sentOf<CallMessage>().size() == 1);
    fixture.driver->receiveResolution({ "call/1", CallState::Running, ResultCode::Ok, {} });
    CHECK(fixture.outcomes.empty());
    fixture.driver->receiveResolution({ "call/1", CallState::Done, ResultCode::Ok, "booked" });
    CHECK(fixture.outcomes.at(0).answer == "booked");
}

// Guards against a caller that waits for its whole deadline for an agent that is gone.
TEST_CASE("a booking at an agent that stays unreachable is unknown")
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

// Guards against a cancelled booking of which nobody knows the outcome, and against one that starts for nobody.
TEST_CASE("a booking goes on after its caller left only if it was sent")
{
    DriverFixture fixture(false);
    fixture.start();
    fixture.driver->cancel();
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.sentOf<CancelMessage>().empty());
    fixture.answer(1, "booked");
    CHECK(fixture.row().answer == "booked");

    DriverFixture waiting(false);
    waiting.table.isHeld = true;
    waiting.start();
    waiting.driver->cancel();
    waiting.table.release();
    CHECK(waiting.sentOf<CallMessage>().empty());
    CHECK(waiting.outcomes.at(0).code == ResultCode::Cancelled);
    CHECK(waiting.outcomes.at(0).executed == Executed::No);
}

// Guards against engines that work for callers that left.
TEST_CASE("a stream is cancelled when its caller goes away")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.driver->cancel();
    CHECK(fixture.sentOf<CancelMessage>().size() == 1);
    CHECK(fixture.outcomes.at(0).executed == Executed::Unknown);
}

// Guards against a stream that starts again or has a gap after its agent was lost.
TEST_CASE("a stream is resumed with the text so far")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.driver->receivePart({ "call", 1, 0, "abc" });
    fixture.driver->linkClosed("a");
    CHECK(fixture.sentOf<CallMessage>().at(1).resumeText == "abc");
    fixture.driver->receivePart({ "call", 1, 3, "OLD" });
    fixture.driver->receivePart({ "call", 2, 3, "def" });
    fixture.driver->receiveEnd({ "call", 2, 6, ResultCode::Ok, {} });
    CHECK(fixture.passedOn == "abcdef");
    CHECK(fixture.outcomes.at(0).code == ResultCode::Ok);
}

// Guards against a stream that waits for a stalled engine until its deadline.
TEST_CASE("a stream without progress is sent to another agent")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.advance(seconds(4));
    CHECK(fixture.sentOf<CallMessage>().size() == 1);
    fixture.advance(seconds(2));
    CHECK(fixture.sentOf<CallMessage>().size() == 2);
    CHECK(fixture.sentOf<CancelMessage>().size() == 1);
}

// Guards against a fetch that never ends, and against text that is passed on twice.
TEST_CASE("the rest of a stream is fetched from the named agent")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.request.position = StreamPosition { "b", "original", 3 };
    fixture.start();
    CHECK(fixture.sentOf<FetchMessage>().at(0).offset == 3);
    fixture.driver->receivePart({ "call", 0, 3, "def" });
    fixture.driver->linkClosed("b");
    fixture.advance(milliseconds(10));
    CHECK(fixture.sentOf<FetchMessage>().at(1).offset == 6);
    fixture.driver->receivePart({ "call", 0, 3, "def" });
    CHECK(fixture.passedOn == "def");
    fixture.advance(seconds(5));
    CHECK(fixture.outcomes.at(0).code == ResultCode::StreamInterrupted);
}

// Guards against "not executed" and against lost time when nothing was sent at all.
TEST_CASE("a call goes to another agent if there is no link")
{
    DriverFixture fixture(true);
    fixture.unreachable = { "a" };
    fixture.start();
    CHECK(fixture.sent.empty());
    fixture.advance(milliseconds(10));
    CHECK(fixture.sentOf<CallMessage>().at(0).ticket.agent == "b");
    CHECK(fixture.driver->sends() == 1);
}

// Guards against "not executed" without proof.
TEST_CASE("only proof that no attempt started is reported as not executed")
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

    // An earlier send of the caller may be in a paused entry.
    DriverFixture repeated(true);
    repeated.request.mayBeRetry = true;
    repeated.tickets.clear();
    repeated.start();
    repeated.advance(seconds(21));
    CHECK(repeated.outcomes.at(0).executed == Executed::Unknown);
}

// Guards against "not executed" for a key that another entry may have executed, against a takeover of a
// ticket that may still start, and against a second caller that waits for an owner that crashed.
TEST_CASE("the claim of another owner is resolved at its agent before it is taken over")
{
    ClaimRecord foreign;
    foreign.fingerprint = requestFingerprint("", "");
    foreign.attempt = 1;
    foreign.owner = "other";
    foreign.ticket = { "b", "1", 7, 9 };

    DriverFixture fixture(false);
    fixture.table.table.write({ { claimRowKey("", "", "", "key"), encodeClaim(foreign), std::nullopt } });
    fixture.start();
    fixture.advance(milliseconds(300));
    // An owner that is only slow has time to send.
    CHECK(fixture.sent.empty());
    fixture.advance(milliseconds(300));
    CHECK(fixture.sentOf<ResolveMessage>().at(0).ticket == foreign.ticket);
    fixture.driver->receiveResolution({ "call/1", CallState::Running, ResultCode::Ok, {} });
    CHECK(fixture.sentOf<CallMessage>().empty());
    fixture.driver->receiveResolution({ "call/1", CallState::NotStarted, ResultCode::Ok, {} });
    CHECK(fixture.sentOf<CallMessage>().size() == 1);
    CHECK(fixture.row().owner == "call");
    CHECK(fixture.row().attempt == 2);

    DriverFixture waiting(false);
    waiting.table.table.write({ { claimRowKey("", "", "", "key"), encodeClaim(foreign), std::nullopt } });
    waiting.start();
    waiting.advance(seconds(21));
    CHECK(waiting.outcomes.at(0).code == ResultCode::DeadlinePassed);
    CHECK(waiting.outcomes.at(0).executed == Executed::Unknown);
}

// Guards against a flood of sends during an outage.
TEST_CASE("retries end when the budget is spent, and saved retries are bounded")
{
    DriverFixture fixture(true);
    fixture.start();
    fixture.spendRetries();
    fixture.driver->linkClosed("a");
    CHECK(fixture.outcomes.at(0).code == ResultCode::RetryBudgetSpent);
    CHECK(fixture.outcomes.at(0).executed == Executed::Unknown);
    CHECK(fixture.sentOf<CallMessage>().size() == 1);

    for (int call = 0; call < 1000; ++call)
        fixture.budget.addCall();
    CHECK(fixture.spendRetries() == 20);
}

// Guards against calls that fail because refusals and lost answers use up the retries of each other.
TEST_CASE("retries after refusals have their own allowance")
{
    DriverFixture refused(true);
    refused.start();
    refused.spendRetries();
    refused.driver->receiveRefused({ "call", 1, ResultCode::BackendServerRefused, {} });
    CHECK(refused.sentOf<CallMessage>().size() == 2);
    refused.answer(2, "found");
    CHECK(refused.outcomes.at(0).code == ResultCode::Ok);

    DriverFixture lost(true);
    lost.start();
    lost.spendRefused();
    lost.driver->linkClosed("a");
    CHECK(lost.sentOf<CallMessage>().size() == 2);
}

// Guards against a flood of sends while all agents refuse.
TEST_CASE("retries after refusals end unless agents start calls")
{
    DriverFixture fixture(true);
    fixture.start();
    fixture.spendRefused();
    for (int call = 0; call < 1000; ++call)
        fixture.budget.addCall();
    fixture.clock.advance(seconds(10));
    fixture.driver->receiveRefused({ "call", 1, ResultCode::BackendServerRefused, {} });
    CHECK(fixture.outcomes.at(0).code == ResultCode::RetryBudgetSpent);
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    CHECK(fixture.sentOf<CallMessage>().size() == 1);

    for (int call = 0; call < 1000; ++call)
        fixture.budget.addStarted();
    CHECK(fixture.spendRefused() == 20);
}

// Guards against an allowance that grows with each part of a stream, or not at all.
TEST_CASE("a started attempt pays for two retries after refusals")
{
    DriverFixture fixture(true, CallKind::Completion);
    fixture.start();
    fixture.spendRefused();
    fixture.driver->receivePart({ "call", 1, 0, "one " });
    fixture.driver->receivePart({ "call", 1, 4, "two" });
    fixture.driver->receiveEnd({ "call", 1, 7, ResultCode::Ok, {} });
    CHECK(fixture.outcomes.at(0).code == ResultCode::Ok);
    CHECK(fixture.spendRefused() == 2);
}

// Guards against one call that all agents refuse and that uses the allowance of the others.
TEST_CASE("a call is refused a bounded number of times")
{
    DriverFixture fixture(true);
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence)
        fixture.tickets.push_back({ "a", "1", 1, sequence });
    fixture.start();
    for (std::uint32_t attempt = 1; fixture.outcomes.empty(); ++attempt)
        fixture.driver->receiveRefused({ "call", attempt, ResultCode::BackendServerRefused, {} });
    CHECK(fixture.sentOf<CallMessage>().size() == 9);
    CHECK(fixture.outcomes.at(0).code == ResultCode::RetryBudgetSpent);
    CHECK(fixture.outcomes.at(0).executed == Executed::No);
    CHECK(fixture.budget.trySpendRefused());
}

// Guards against hedges that are sent at random, twice, to the same agent, or beyond the budget.
TEST_CASE("a lookup is hedged once after the observed percentile")
{
    DriverFixture fixture(true);
    for (int sample = 0; sample < 39; ++sample)
        fixture.hedges.observe(milliseconds(100));
    CHECK(!fixture.hedges.delay());
    fixture.hedges.observe(milliseconds(500));
    CHECK(fixture.hedges.delay() == Duration(milliseconds(100)));
    fixture.start();
    fixture.advance(milliseconds(90));
    CHECK(fixture.sentOf<CallMessage>().size() == 1);
    fixture.advance(milliseconds(20));
    fixture.advance(milliseconds(200));
    CHECK(fixture.sentOf<CallMessage>().size() == 2);
    fixture.answer(2, "found");
    CHECK(fixture.outcomes.at(0).answer == "found");
    CHECK(fixture.sentOf<CancelMessage>().at(0).attempt == 1);

    DriverFixture limited(true);
    for (int sample = 0; sample < 40; ++sample)
        limited.hedges.observe(milliseconds(100));
    limited.spendRetries();
    limited.start();
    limited.advance(milliseconds(300));
    CHECK(limited.sentOf<CallMessage>().size() == 1);
    CHECK(limited.tickets.size() == 2);

    DriverFixture same(true);
    for (int sample = 0; sample < 40; ++sample)
        same.hedges.observe(milliseconds(100));
    same.tickets = { { "a", "1", 1, 1 }, { "a", "1", 1, 2 } };
    same.start();
    same.advance(milliseconds(300));
    CHECK(same.sentOf<CallMessage>().size() == 1);
    CHECK(same.tickets.size() == 1);
}

// Guards against the answer of another request that used the same key.
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
    // The ticket was not used.
    CHECK(fixture.tickets.size() == 3);
}

}
