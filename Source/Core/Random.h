#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Damaskgrade {

// A seeded source of random numbers. Tests pass a fixed seed.
class Random {
public:
    explicit Random(std::uint64_t seed);

    // Returns a number in [0, limit). The limit must be above zero.
    std::size_t index(std::size_t limit);

    // Returns a number in [0, 1).
    double fraction();

    // Returns 32 hexadecimal digits, for request ids and incarnations.
    std::string identifier();

    // Returns 64 random bits.
    std::uint64_t bits();

private:
    std::mt19937_64 engine_;
};

// Returns a seed from the operating system.
std::uint64_t systemSeed();

}
