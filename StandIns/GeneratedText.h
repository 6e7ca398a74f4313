#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Returns one token of the answer to a prompt: a word and a space.
// It depends on the prompt and the index alone, so that each engine continues each other's answers.
std::string generatedToken(std::string_view prompt, std::uint64_t index);

// Returns the whole answer of that many tokens.
std::string generatedText(std::string_view prompt, std::uint64_t tokens);

}
