#include "Limits/AdmissionController.h"
#include "Core/ManualClock.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace Damaskgrade {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct AdmissionFixture {
    explicit AdmissionFixture(AdmissionSettings settings = smallQueues())
        : controller(clock, settings, CustomerShares(1))
    {
        controller.setWeights({ { "a", 1 }, { "b", 1 }, { "large", 4 } });
    }

    static AdmissionSettings smallQueues()
    {
        AdmissionSettings settings;
        settings.maximumQueued = 20;
        settings.maximumQueuedPerCustomer = 15;
        settings.assumedServiceTime = seconds(1);
        return settings;
    }

    AdmissionDecision submit(const std::string& id, const std::string& customer = "a", Duration timeLeft = seconds(60), std::int32_t priority = 0)
    {
        AdmissionRequest request;
        request.callId = id;
        request.customer = customer;
        request.priority = priority;
        request.deadline = clock.now() + timeLeft;
        return controller.submit(request);
    }

    std::vector<std::string> submitMany(int count, const std::string& customer)
    {
        std::vector<std::string> queued;
        for (int i = 0; i < count; ++i) {
            std::string id = customer + std::to_string(i);
            if (submit(id, customer).action == AdmissionAction::Queue)
                queued.push_back(id);
        }
        return queued;
    }

    // Finishes the call and frees its ticket. Returns the call that starts next, or an empty string if none does.
    std::string finishAndStartNext(const std::string& id)
    {
        controller.finished(id);
        controller.setFreeTickets(controller.freeTickets() + 1);
        for (const AdmissionDecision& decision : controller.advance()) {
            if (decision.action == AdmissionAction::Start)
                return decision.callId;
        }
        return "";
    }

    ManualClock clock;
    AdmissionController controller;
};

}

// Guards against a late refusal that leaves the caller no time for a retry elsewhere.
TEST_CASE("a call that cannot meet its deadline is refused immediately")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(2);
    CHECK(fixture.submit("first").action == AdmissionAction::Start);
    CHECK(fixture.submit("second").action == AdmissionAction::Start);
    CHECK(fixture.submit("third", "a", milliseconds(1600)).action == AdmissionAction::Queue);
    AdmissionDecision refused = fixture.submit("fourth", "a", milliseconds(1600));
    CHECK(refused.action == AdmissionAction::Refuse);
    CHECK(refused.code == ResultCode::DeadlineNotReachable);
    CHECK(fixture.submit("fifth", "a", milliseconds(0)).code == ResultCode::DeadlinePassed);
    CHECK(fixture.controller.queued() == 1);
}

// Guards against an estimate that stays too high after an incident, so that all calls are refused permanently.
TEST_CASE("with no call in flight, a call is started regardless of the estimate")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    CHECK(fixture.submit("first", "a", milliseconds(100)).action == AdmissionAction::Start);
    CHECK(fixture.controller.freeTickets() == 0);
}

// Guards against an estimate that does not increase when a backend server becomes slower.
TEST_CASE("the estimate follows the observed service times")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    fixture.submit("first");
    Duration before = fixture.controller.expectedWait("a");
    fixture.clock.advance(seconds(5));
    fixture.controller.finished("first");
    fixture.controller.setFreeTickets(1);
    fixture.submit("second");
    CHECK(fixture.controller.expectedWait("a") > 3 * before);
}

// Guards against calls that are started and finish after their deadline, because many take longer than the mean.
TEST_CASE("the estimate includes a margin for varying service times")
{
    AdmissionFixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.controller.setFreeTickets(1);
        fixture.submit("call");
        fixture.clock.advance(milliseconds(i % 2 == 0 ? 500 : 1500));
        fixture.controller.finished("call");
    }
    fixture.controller.setFreeTickets(2);
    fixture.submit("running");
    CHECK(fixture.submit("short of time", "a", milliseconds(1400)).code == ResultCode::DeadlineNotReachable);
    CHECK(fixture.submit("in time", "a", milliseconds(2500)).action == AdmissionAction::Start);
}

// Guards against queued calls that are started after their deadline, and against a wrong result code.
TEST_CASE("queued calls expire when they cannot meet their deadline")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    fixture.submit("running");
    CHECK(fixture.submit("queued", "a", seconds(3)).action == AdmissionAction::Queue);
    fixture.clock.advance(milliseconds(2500));
    std::vector<AdmissionDecision> decisions = fixture.controller.advance();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].callId == "queued");
    CHECK(decisions[0].code == ResultCode::DeadlineNotReachable);
    CHECK(fixture.controller.queued() == 0);
    fixture.submit("other", "a", seconds(3));
    fixture.clock.advance(seconds(4));
    CHECK(fixture.controller.advance()[0].code == ResultCode::DeadlinePassed);
}

// Guards against unbounded queues, and against a burst that fills the queue for other customers.
TEST_CASE("a burst is refused at the limit of its customer, and its calls are evicted for others")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    fixture.submit("running", "b");
    fixture.submitMany(30, "a");
    CHECK(fixture.controller.queued() == 15);
    CHECK(fixture.submit("more", "a").code == ResultCode::CustomerLimitReached);
    CHECK(fixture.submitMany(5, "b").size() == 5);
    CHECK(fixture.controller.queued() == 20);
    CHECK(fixture.submit("pushing", "b").action == AdmissionAction::Queue);
    CHECK(fixture.controller.queued() == 20);
    std::vector<AdmissionDecision> decisions = fixture.controller.advance();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].callId == "a14");
    CHECK(decisions[0].code == ResultCode::CustomerLimitReached);
    CHECK(fixture.submit("over", "a").code != ResultCode::Ok);
}

// Guards against a refusal with the customer limit when the queue of the entry is full.
TEST_CASE("a full queue refuses as overloaded if no customer has more queued calls than the caller")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    fixture.submit("running", "b");
    fixture.submitMany(10, "a");
    fixture.submitMany(10, "b");
    CHECK(fixture.submit("more", "a").code == ResultCode::Overloaded);
}

// Guards against urgent calls that wait behind other calls of their customer, and against a priority that increases
// the customer's share.
TEST_CASE("priority orders the calls of one customer but not the customers")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    fixture.submit("running", "a");
    fixture.submit("usual", "a");
    fixture.submit("urgent", "a", seconds(60), 5);
    fixture.submit("other", "b");
    fixture.clock.advance(seconds(1));
    std::string first = fixture.finishAndStartNext("running");
    CHECK(first == "other");
    CHECK(fixture.finishAndStartNext(first) == "urgent");
}

// Guards against capacity that is lost when calls are cancelled or not sent.
TEST_CASE("abandoned calls are removed from the queue and their charge is refunded")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    fixture.submit("running", "a");
    fixture.submit("queued", "a");
    fixture.controller.abandoned("queued");
    CHECK(fixture.controller.queued() == 0);
    fixture.controller.abandoned("running");
    CHECK(fixture.controller.inFlight() == 0);
    fixture.controller.abandoned("unknown");
    fixture.controller.setFreeTickets(1);
    fixture.submit("blocking", "large");
    fixture.submit("a1", "a");
    fixture.submit("b1", "b");
    CHECK(fixture.finishAndStartNext("blocking") == "a1");
}

// Guards against refusals while links are reconnected and the capacity is unknown for a short time.
TEST_CASE("without tickets and calls in flight, calls are queued if their deadline allows")
{
    AdmissionFixture fixture;
    CHECK(fixture.submit("patient", "a", seconds(5)).action == AdmissionAction::Queue);
    CHECK(fixture.submit("urgent", "a", milliseconds(1500)).code == ResultCode::DeadlineNotReachable);
    fixture.controller.setFreeTickets(1);
    CHECK(fixture.controller.advance()[0].callId == "patient");
}

// Guards against starvation: during a burst of one customer, the others must still get their share of the starts.
TEST_CASE("during a burst of the large customer, the small ones get their share")
{
    AdmissionSettings settings;
    settings.assumedServiceTime = seconds(1);
    AdmissionFixture fixture(settings);
    fixture.controller.setFreeTickets(1);
    fixture.submit("running", "large");
    fixture.submitMany(100, "large");
    fixture.submitMany(15, "a");
    fixture.submitMany(15, "b");
    std::map<char, int> starts;
    std::string running = "running";
    for (int i = 0; i < 36; ++i) {
        fixture.clock.advance(seconds(1));
        running = fixture.finishAndStartNext(running);
        ++starts[running.front()];
    }
    CHECK(starts['a'] >= 5);
    CHECK(starts['b'] >= 5);
    CHECK(starts['l'] >= 22);
}

// Guards against idle capacity, lost calls, calls that start without a ticket, and queues beyond their limits.
TEST_CASE("every call is decided once, and no ticket is free while a call is queued")
{
    bool propertyHolds = rc::check([] {
        AdmissionFixture fixture;
        std::set<std::string> waiting;
        std::vector<std::string> running;
        int tickets = *rc::gen::inRange(0, 6);
        int steps = *rc::gen::inRange(1, 150);
        for (int step = 0; step < steps; ++step) {
            std::string id = "call-" + std::to_string(step);
            if (*rc::gen::inRange(0, 3) > 0) {
                std::string customer = *rc::gen::element<std::string>("a", "b", "large", "unknown");
                AdmissionDecision decision = fixture.submit(id, customer, milliseconds(*rc::gen::inRange(0, 20000)), *rc::gen::inRange(-1, 2));
                if (decision.action == AdmissionAction::Start)
                    running.push_back(id);
                if (decision.action == AdmissionAction::Queue)
                    waiting.insert(id);
                RC_ASSERT((decision.action == AdmissionAction::Refuse) == (decision.code != ResultCode::Ok));
            } else if (!running.empty()) {
                std::size_t which = *rc::gen::inRange<std::size_t>(0, running.size());
                fixture.controller.finished(running[which]);
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(which));
            }
            // A machine fails or recovers.
            if (*rc::gen::inRange(0, 20) == 0)
                tickets = *rc::gen::inRange(0, 6);
            fixture.clock.advance(milliseconds(*rc::gen::inRange(0, 800)));
            std::size_t capacity = static_cast<std::size_t>(tickets);
            fixture.controller.setFreeTickets(capacity - std::min(capacity, running.size()));
            for (const AdmissionDecision& decision : fixture.controller.advance()) {
                RC_ASSERT(waiting.erase(decision.callId) == 1u);
                if (decision.action == AdmissionAction::Start)
                    running.push_back(decision.callId);
            }
            RC_ASSERT(running.size() == fixture.controller.inFlight());
            RC_ASSERT(waiting.size() == fixture.controller.queued());
            RC_ASSERT(fixture.controller.freeTickets() == 0u || waiting.empty());
            RC_ASSERT(waiting.size() <= 20u);
        }
    });
    CHECK(propertyHolds);
}

// Guards against an entry that gives a customer less than its share of the entry's tickets, here 1/6 by weight. A
// customer that uses only one of several entries has no tickets elsewhere.
TEST_CASE("a customer at one entry gets its share of that entry's tickets")
{
    AdmissionFixture fixture;
    fixture.controller.setFreeTickets(1);
    fixture.submit("running", "b");
    int startsOfA = 0;
    std::string running = "running";
    for (int i = 0; i < 60; ++i) {
        fixture.submit("a-" + std::to_string(i), "a");
        fixture.submit("b-" + std::to_string(i), "b");
        fixture.submit("l-" + std::to_string(i), "large");
        fixture.clock.advance(seconds(1));
        running = fixture.finishAndStartNext(running);
        startsOfA += running.front() == 'a' ? 1 : 0;
    }
    CHECK(startsOfA >= 60 / 6 - 2);
}

}
