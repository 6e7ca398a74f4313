#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Divides the capacity of one entry between customers by start-time fair queueing. The cost of each started call is
// charged to its customer, and the customer with the lowest start tag is served next. The share of a customer without
// demand is available to the others, and returns to it with the next capacity that becomes free.
class CustomerShares {
public:
    // All customers without a configured weight share one account, which has the default weight. The number of
    // accounts is therefore bounded by the configuration.
    explicit CustomerShares(double defaultWeight);

    // Replaces all weights. Ignores weights that are not positive. Keeps the charges of remaining customers.
    void setWeights(const std::map<std::string, double>& weights);

    // Returns the account to which calls of the customer are charged.
    std::string account(std::string_view customer) const;
    double weight(std::string_view account) const;
    // Returns the virtual time at which the next call of the account would start. The lowest one is served first.
    double startTag(std::string_view account) const;

    // Charges the account for a call that starts. The cost is the expected use, in seconds of one ticket.
    void charge(std::string_view account, double cost);
    // Corrects the charge of a call that ended. The difference is its actual use minus its charge, in seconds.
    void correct(std::string_view account, double difference);

    // Returns the number of accounts with a stored charge.
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
