#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Returns one token of the completion of a prompt: a word and a space.
// It depends only on the prompt and the index, so that any engine can continue a completion that another one began.
std::string generatedToken(std::string_view prompt, std::uint64_t index);

// Returns the completion of a prompt with this number of tokens.
std::string generatedText(std::string_view prompt, std::uint64_t tokens);

}
