#pragma once

#include <cstddef>

namespace Damaskgrade {

// Bounds the memory for response bodies that are stored until they are complete, over all requests of an entry.
class ResponseBuffers {
public:
    explicit ResponseBuffers(std::size_t limit);

    // Returns false, without a reservation, if the bytes would exceed the limit.
    bool reserve(std::size_t bytes);
    void release(std::size_t bytes) { used_ -= bytes; }

    std::size_t used() const { return used_; }
    std::size_t limit() const { return limit_; }

private:
    std::size_t limit_;
    std::size_t used_ { 0 };
};

}
