#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace Damaskgrade {

// A set of numbers, stored as ranges.
class SequenceSet {
public:
    // Adds the numbers from first to first + count - 1. None of them may be in the set yet.
    void add(std::uint64_t first, std::uint64_t count);

    // Returns whether the number was in the set.
    bool remove(std::uint64_t number);

    // Removes and returns the highest number. The set must not be empty.
    std::uint64_t removeLast();

    bool contains(std::uint64_t number) const;
    void clear();
    std::uint64_t size() const { return size_; }
    std::size_t rangeCount() const { return ranges_.size(); }

private:
    // First number of each range, and the number after its last.
    std::map<std::uint64_t, std::uint64_t> ranges_;
    std::uint64_t size_ { 0 };
};

}
