#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <gsl/span>

namespace Damaskgrade {

// Identifies a part of a prompt, for example a system prompt, that several requests may have in common.
using PromptPart = std::uint64_t;

// Hashes with a seed, since callers choose the identifiers and could otherwise give all of them the same hash.
struct PromptPartHash {
    std::uint64_t seed { 0 };

    std::size_t operator()(PromptPart part) const;
};

// Returns the identifiers in hexadecimal digits, separated by commas.
std::string formatPromptParts(gsl::span<const PromptPart> parts);

}
