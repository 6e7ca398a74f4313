#include "Calls/SequenceSet.h"

#include <iterator>

namespace Damaskgrade {

void SequenceSet::add(std::uint64_t first, std::uint64_t count)
{
    if (!count)
        return;
    std::uint64_t end = first + count;
    size_ += count;
    auto next = ranges_.lower_bound(first);
    if (next != ranges_.end() && next->first == end) {
        end = next->second;
        next = ranges_.erase(next);
    }
    if (next != ranges_.begin() && std::prev(next)->second == first)
        std::prev(next)->second = end;
    else
        ranges_.emplace(first, end);
}

bool SequenceSet::remove(std::uint64_t number)
{
    auto range = ranges_.upper_bound(number);
    if (range == ranges_.begin())
        return false;
    --range;
    if (number >= range->second)
        return false;
    std::uint64_t first = range->first;
    std::uint64_t end = range->second;
    ranges_.erase(range);
    if (first < number)
        ranges_.emplace(first, number);
    if (number + 1 < end)
        ranges_.emplace(number + 1, end);
    --size_;
    return true;
}

std::uint64_t SequenceSet::removeLast()
{
    std::uint64_t number = ranges_.rbegin()->second - 1;
    remove(number);
    return number;
}

bool SequenceSet::contains(std::uint64_t number) const
{
    auto range = ranges_.upper_bound(number);
    return range != ranges_.begin() && number < std::prev(range)->second;
}

void SequenceSet::clear()
{
    ranges_.clear();
    size_ = 0;
}

}
