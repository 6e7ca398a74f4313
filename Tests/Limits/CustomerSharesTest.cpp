#include "Limits/CustomerShares.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

namespace Damaskgrade {

namespace {

// Returns the account with the lowest start tag among those with demand.
std::size_t next(const CustomerShares& shares, const std::vector<std::string>& names, const std::vector<bool>& hasDemand)
{
    std::size_t best = names.size();
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (hasDemand[i] && (best == names.size() || shares.startTag(names[i]) < shares.startTag(names[best])))
            best = i;
    }
    return best;
}

}

// Guards against a customer with demand that gets less than its share, for any demand of the others.
TEST_CASE("a customer with demand is never behind its share by more than one call of each customer")
{
    bool propertyHolds = rc::check([] {
        constexpr std::size_t count = 5;
        std::vector<std::string> names { "a", "b", "c", "d", "e" };
        std::map<std::string, double> weights;
        double totalWeight = 0;
        for (const std::string& name : names) {
            weights[name] = *rc::gen::inRange(1, 9);
            totalWeight += weights[name];
        }
        CustomerShares shares(1);
        shares.setWeights(weights);
        std::vector<bool> hasDemand(count, false);
        constexpr double maximumCost = 4;
        double served = 0;
        double servedFirst = 0;
        for (int step = 0; step < 300; ++step) {
            // The first customer always has demand; the demand of the others varies.
            for (std::size_t i = 1; i < count; ++i) {
                if (*rc::gen::inRange(0, 10) == 0)
                    hasDemand[i] = !hasDemand[i];
            }
            hasDemand[0] = true;
            std::size_t chosen = next(shares, names, hasDemand);
            double cost = *rc::gen::inRange(1, 5);
            shares.charge(names[chosen], cost);
            served += cost;
            servedFirst += chosen == 0 ? cost : 0;
            double share = served * weights["a"] / totalWeight;
            RC_ASSERT(servedFirst >= share - maximumCost * count);
        }
    });
    CHECK(propertyHolds);
}

// Guards against a customer that accumulates capacity while idle and then starves the others.
TEST_CASE("an idle customer regains its share without credit for the idle time")
{
    CustomerShares shares(1);
    shares.setWeights({ { "idle", 1 }, { "busy", 1 } });
    for (int i = 0; i < 100; ++i)
        shares.charge("busy", 1);
    CHECK(shares.startTag("idle") < shares.startTag("busy"));
    int idleServed = 0;
    for (int i = 0; i < 10; ++i) {
        bool isIdleNext = shares.startTag("idle") < shares.startTag("busy");
        shares.charge(isIdleNext ? "idle" : "busy", 1);
        idleServed += isIdleNext ? 1 : 0;
    }
    CHECK(idleServed >= 4);
    CHECK(idleServed <= 6);
}

// Guards against calls that take longer than estimated and so exceed the customer's share.
TEST_CASE("a call is charged for its actual use")
{
    CustomerShares shares(1);
    shares.setWeights({ { "long", 1 }, { "short", 1 } });
    shares.charge("long", 1);
    shares.charge("short", 1);
    shares.correct("long", 9);
    CHECK(shares.startTag("long") - shares.startTag("short") == doctest::Approx(9));
}

// Guards against memory use that grows with the number of names that callers send.
TEST_CASE("the number of accounts is bounded with 1,300 customers and any number of unknown ones")
{
    CustomerShares shares(1);
    std::map<std::string, double> weights;
    for (int i = 0; i < 1300; ++i)
        weights["customer-" + std::to_string(i)] = 1 + i % 7;
    shares.setWeights(weights);
    for (int i = 0; i < 20000; ++i)
        shares.charge(shares.account("customer-" + std::to_string(i % 3000)), 1);
    CHECK(shares.chargedAccounts() <= 1301);
    CHECK(shares.account("customer-2000").empty());
    weights.clear();
    shares.setWeights(weights);
    for (int i = 0; i < 3000; ++i)
        shares.charge("", 1000);
    CHECK(shares.chargedAccounts() <= 257);
}

}
