#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH64_state_s;

namespace Damaskgrade {

// Hashes bytes that arrive in parts. The result does not depend on how they are divided.
class ContentHash {
public:
    ContentHash();

    void reset();
    void add(std::string_view bytes);
    std::uint64_t value() const;

private:
    std::unique_ptr<XXH64_state_s, void (*)(XXH64_state_s*)> state_;
};

}
