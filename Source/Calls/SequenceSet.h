#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace Damaskgrade {

// A set of sequence numbers, stored as ranges.
class SequenceSet {
public:
    // Adds the numbers from first to first + count - 1. The set must not contain any of them.
    void add(std::uint64_t first, std::uint64_t count);

    // Removes the number. Returns whether it was in the set.
    bool remove(std::uint64_t number);

    // Removes and returns the highest number. The set must not be empty.
    std::uint64_t removeLast();

    bool contains(std::uint64_t number) const;
    void clear();
    std::uint64_t size() const { return size_; }
    std::size_t rangeCount() const { return ranges_.size(); }

private:
    // Maps the first number of each range to the number after its last one.
    std::map<std::uint64_t, std::uint64_t> ranges_;
    std::uint64_t size_ { 0 };
};

}
