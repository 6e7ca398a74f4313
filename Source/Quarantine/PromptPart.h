#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

// Identifies a part of a prompt, for example a system prompt, that several requests may have in common.
using PromptPart = std::uint64_t;

// Returns the identifiers in hexadecimal digits, separated by commas.
std::string formatPromptParts(const std::vector<PromptPart>& parts);

}
