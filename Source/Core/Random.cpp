#include "Core/Random.h"

namespace Damaskgrade {

Random::Random(std::uint64_t seed)
    : engine_(seed)
{
}

std::size_t Random::index(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(engine_);
}

double Random::fraction()
{
    return std::uniform_real_distribution<double>(0, 1)(engine_);
}

std::string Random::identifier()
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (int half = 0; half < 2; ++half) {
        std::uint64_t value = bits();
        for (int shift = 60; shift >= 0; shift -= 4)
            text += digits[(value >> shift) & 15];
    }
    return text;
}

std::uint64_t Random::bits()
{
    return engine_();
}

std::uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}
