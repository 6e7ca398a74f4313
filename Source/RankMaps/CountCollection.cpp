#include "RankMaps/CountCollection.h"

#include <utility>

namespace Damaskgrade {

CountCollection::CountCollection(const Clock& clock, Report onComplete)
    : clock_(clock)
    , onComplete_(std::move(onComplete))
{
}

void CountCollection::begin(std::uint64_t round, std::size_t parts, Duration wait)
{
    if (missingParts_ > 0)
        finish();
    round_ = round;
    missingParts_ = parts;
    deadline_ = clock_.now() + wait;
    sum_ = {};
}

void CountCollection::add(std::uint64_t round, const CountSum& part)
{
    if (round != round_ || missingParts_ == 0)
        return;
    sum_.ranks += part.ranks;
    if (sum_.counts.empty())
        sum_.counts = part.counts;
    else if (part.counts.size() == sum_.counts.size()) {
        for (std::size_t i = 0; i < part.counts.size(); ++i)
            sum_.counts[i] += part.counts[i];
    }
    if (--missingParts_ == 0)
        finish();
}

void CountCollection::tick()
{
    if (missingParts_ > 0 && clock_.now() >= deadline_)
        finish();
}

void CountCollection::finish()
{
    missingParts_ = 0;
    onComplete_(round_, sum_);
}

}
