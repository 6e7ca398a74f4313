#pragma once

#include "Quarantine/PromptPart.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// A part of a prompt with its length.
struct PromptSegment {
    PromptPart part { 0 };
    std::uint32_t tokens { 0 };
};

inline bool operator==(const PromptSegment& left, const PromptSegment& right)
{
    return left.part == right.part && left.tokens == right.tokens;
}

// The parts of a prompt, in order, up to the first one that is invalid.
struct DecodedPrompt {
    std::vector<PromptSegment> segments;
    bool isValid { true };
};

// Returns all parts of a prompt, in order, from the value of the header with its parts.
using PromptSegmentsDecoder = std::function<std::vector<PromptSegment>(std::string_view)>;

}
