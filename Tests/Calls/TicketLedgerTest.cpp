#include "Calls/TicketLedger.h"
#include "Calls/TicketAllocation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace Damaskgrade {

// Guards against wrong records of spent tickets, for any order in which tickets are spent.
TEST_CASE("a sequence set contains the same numbers as a std::set")
{
    CHECK(rc::check("a sequence set contains the same numbers as a std::set", [] {
        SequenceSet set;
        std::set<std::uint64_t> expected;
        for (std::uint64_t number : *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 12))) {
            if (expected.erase(number))
                RC_ASSERT(set.remove(number));
            else {
                RC_ASSERT(!set.remove(number));
                expected.insert(number);
                set.add(number, 1);
            }
            for (std::uint64_t other = 0; other < 13; ++other)
                RC_ASSERT(set.contains(other) == (expected.count(other) > 0));
            RC_ASSERT(set.size() == expected.size());
            RC_ASSERT(set.rangeCount() <= 6);
        }
    }));
}

// Guards against starting two calls with one ticket, and against reporting a started call as not started.
TEST_CASE("a ticket can be spent once, and its state is reported correctly afterwards")
{
    TicketLedger ledger("a", "1");
    std::uint64_t session = ledger.openSession();
    TicketRange range = ledger.issue(session, 3);
    Ticket first { "a", "1", session, range.first };
    Ticket second { "a", "1", session, range.first + 1 };
    Ticket third { "a", "1", session, range.first + 2 };
    CHECK(ledger.spend(first) == ResultCode::Ok);
    CHECK(ledger.spend(first) == ResultCode::TicketInvalid);
    CHECK(ledger.resolve(second) == TicketState::Revoked);
    CHECK(ledger.spend(second) == ResultCode::TicketInvalid);
    ledger.closeSession(session);
    CHECK(ledger.spend(third) == ResultCode::TicketInvalid);
    CHECK(ledger.resolve(third) == TicketState::Revoked);
    CHECK(ledger.resolve(first) == TicketState::Spent);
}

// Guards against reporting "not started" for a ticket that the ledger did not issue.
TEST_CASE("tickets of another incarnation and tickets that were never issued are reported as not issued")
{
    TicketLedger ledger("a", "2");
    std::uint64_t session = ledger.openSession();
    ledger.issue(session, 1);
    CHECK(ledger.spend({ "a", "1", session, 1 }) == ResultCode::TicketInvalid);
    CHECK(ledger.resolve({ "a", "1", session, 1 }) == TicketState::NotIssued);
    CHECK(ledger.resolve({ "a", "2", session, 2 }) == TicketState::NotIssued);
    CHECK(ledger.resolve({ "a", "2", session + 1, 1 }) == TicketState::NotIssued);
}

// Guards against new calls at a draining agent.
TEST_CASE("a draining ledger issues no tickets and revokes the unspent ones")
{
    TicketLedger ledger("a", "1");
    std::uint64_t session = ledger.openSession();
    TicketRange range = ledger.issue(session, 1);
    ledger.drain();
    CHECK(ledger.issue(session, 1).count == 0);
    CHECK(ledger.spend({ "a", "1", session, range.first }) == ResultCode::InstanceDraining);
}

// Guards against limits that exceed the free slots by more than one ticket for each entry, and against idle entries
// without a ticket.
TEST_CASE("the free slots are divided in proportion to recent calls")
{
    std::vector<SessionTicketLimit> ticketLimits = allocateTickets(20, 6, { { 1, 0, 30 }, { 2, 0, 0 }, { 3, 0, 8 } });
    CHECK(ticketLimits[0].limit > ticketLimits[2].limit);
    CHECK(ticketLimits[1].limit == 1);
    CHECK(ticketLimits[0].limit + ticketLimits[1].limit + ticketLimits[2].limit <= 14);
    CHECK(allocateTickets(4, 100, { { 1, 0, 5 }, { 2, 0, 0 } })[0].limit == 1);
}

}
