#include "StandIns/GeneratedText.h"

#include <array>
#include <xxhash.h>

namespace Damaskgrade {

namespace {

constexpr std::array<std::string_view, 32> words {
    "amplifier", "available", "bearing", "between", "capacitor", "confirm", "crew", "delivery",
    "diode", "excavation", "flow", "gauge", "household", "inspection", "junction", "lead",
    "line", "meter", "notice", "obsolete", "order", "part", "pipe", "quantity",
    "quote", "relay", "replace", "schedule", "shortage", "supplier", "valve", "week"
};

}

std::string generatedToken(std::string_view prompt, std::uint64_t index)
{
    std::uint64_t hash = XXH64(prompt.data(), prompt.size(), index);
    return std::string(words[hash % words.size()]) + " ";
}

std::string generatedText(std::string_view prompt, std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t index = 0; index < tokens; ++index)
        text += generatedToken(prompt, index);
    return text;
}

}
