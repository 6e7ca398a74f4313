#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Weighted fair shares of the capacity of one entry, by start-time fair queueing. Each started call is
// charged with its cost; the customer with the lowest start tag gets the next free place. A customer
// without demand lends its share to the others and gets it back with the next places that become free.
class CustomerShares {
public:
    // The default weight holds for all customers without a weight together, which share one account,
    // so that the number of accounts is bounded by the configuration.
    explicit CustomerShares(double defaultWeight);

    // Replaces all weights; those not above zero are ignored. Charges of remaining customers are kept.
    void setWeights(const std::map<std::string, double>& weights);

    // Returns the name of the account that a customer is charged to.
    std::string account(std::string_view customer) const;
    double weight(std::string_view account) const;
    // Returns the virtual time at which the next call of the account would start. The lowest is served first.
    double startTag(std::string_view account) const;

    // A call of the account starts. The cost is its expected use, in seconds of one place.
    void charge(std::string_view account, double cost);
    // A call ended and used more (or, if negative, less) than it was charged.
    void correct(std::string_view account, double difference);

    // Accounts that are charged ahead of the virtual time.
    std::size_t chargedAccounts() const { return finishTags_.size(); }

private:
    void removeSettledAccounts();

    double defaultWeight_;
    std::map<std::string, double, std::less<>> weights_;
    double virtualTime_ { 0 };
    std::map<std::string, double, std::less<>> finishTags_;
    std::uint64_t charges_ { 0 };
};

}
