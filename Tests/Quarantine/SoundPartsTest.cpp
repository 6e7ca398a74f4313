#include "Quarantine/SoundParts.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against memory that grows with the parts that callers invent, and against invented parts that displace those of many prompts.
TEST_CASE("sound parts are bounded, and parts of several prompts stay known beside any number of new ones")
{
    constexpr std::size_t capacity = 100;
    SoundParts parts(capacity, {});
    for (PromptPart part = 1; part <= 40; ++part) {
        parts.insert(part);
        parts.insert(part);
    }
    for (PromptPart part = 1000; part < 11000; ++part)
        parts.insert(part);
    CHECK(parts.size() <= capacity);
    for (PromptPart part = 1; part <= 40; ++part)
        CHECK(parts.contains(part));
    CHECK(parts.contains(10999));
    CHECK(!parts.contains(1000));
    // The least recently used of the parts of several prompts is forgotten first.
    parts.insert(1);
    for (PromptPart part = 20000; part < 20049; ++part) {
        parts.insert(part);
        parts.insert(part);
    }
    CHECK(parts.contains(1));
    CHECK(!parts.contains(2));
    CHECK(parts.size() <= capacity);
}

}
