#include "Limits/CustomerShares.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

// Number of charges between removals of settled accounts. Removing them rarely keeps the cost of a charge low.
constexpr std::uint64_t chargesBetweenCleanups = 256;

}

CustomerShares::CustomerShares(double defaultWeight)
    : defaultWeight_(defaultWeight)
{
}

void CustomerShares::setWeights(const std::map<std::string, double>& weights)
{
    weights_.clear();
    for (const auto& [customer, weight] : weights) {
        if (weight > 0)
            weights_.emplace(customer, weight);
    }
}

std::string CustomerShares::account(std::string_view customer) const
{
    return weights_.count(customer) > 0 ? std::string(customer) : std::string();
}

double CustomerShares::weight(std::string_view account) const
{
    std::map<std::string, double, std::less<>>::const_iterator found = weights_.find(account);
    return found == weights_.end() ? defaultWeight_ : found->second;
}

double CustomerShares::startTag(std::string_view account) const
{
    std::map<std::string, double, std::less<>>::const_iterator found = finishTags_.find(account);
    return found == finishTags_.end() ? virtualTime_ : std::max(virtualTime_, found->second);
}

void CustomerShares::charge(std::string_view account, double cost)
{
    double start = startTag(account);
    virtualTime_ = std::max(virtualTime_, start);
    finishTags_[std::string(account)] = start + cost / weight(account);
    if (++charges_ % chargesBetweenCleanups == 0)
        removeSettledAccounts();
}

void CustomerShares::correct(std::string_view account, double difference)
{
    finishTags_[std::string(account)] = startTag(account) + difference / weight(account);
}

void CustomerShares::removeSettledAccounts()
{
    std::map<std::string, double, std::less<>>::iterator item = finishTags_.begin();
    while (item != finishTags_.end()) {
        if (item->second <= virtualTime_)
            item = finishTags_.erase(item);
        else
            ++item;
    }
}

}
