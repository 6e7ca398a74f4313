#include "Quarantine/PromptPart.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace Damaskgrade {

std::size_t PromptPartHash::operator()(PromptPart part) const
{
    return XXH64(&part, sizeof(part), seed);
}

std::string formatPromptParts(gsl::span<const PromptPart> parts)
{
    constexpr int hexadecimal = 16;
    std::string text;
    for (PromptPart part : parts) {
        std::array<char, 2 * sizeof(PromptPart)> digits {};
        std::to_chars_result result = std::to_chars(digits.data(), digits.data() + digits.size(), part, hexadecimal);
        if (!text.empty())
            text += ',';
        text.append(digits.data(), result.ptr);
    }
    return text;
}

}
