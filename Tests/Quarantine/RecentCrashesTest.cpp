#include "Quarantine/RecentCrashes.h"

#include <doctest/doctest.h>

#include <map>

namespace Damaskgrade {

// Guards against memory that grows with the number of crashes or with the parts of their prompts.
TEST_CASE("the parts of recent crashes are bounded, and the oldest crash is forgotten first")
{
    RecentCrashes crashes(3, 10);
    auto isRemembered = [&crashes](PromptPart part) {
        std::vector<PromptPart> explained = crashes.explained([part](PromptPart other) { return RecentCrashes::Suspicion { other == part ? 1U : 2U, true, true }; });
        return explained == std::vector<PromptPart> { part };
    };
    for (PromptPart crash = 1; crash <= 4; ++crash)
        crashes.add({ 10 * crash, 10 * crash + 1 });
    CHECK(!isRemembered(10));
    CHECK(isRemembered(20));
    CHECK(crashes.partCount() == 6);
    crashes.add({ 50, 51, 52, 53, 54, 55, 56 });
    CHECK(crashes.partCount() == 9);
    CHECK(!isRemembered(30));
    CHECK(isRemembered(40));
    crashes.add({ 60, 61, 62, 63, 64, 65, 66, 67, 68, 69, 70 });
    CHECK(crashes.partCount() == 0);
}

// Guards against an excuse for a part that one of its crashes does not allow.
TEST_CASE("a part has an excuse only if each of its crashes may have had another cause")
{
    std::map<PromptPart, std::uint32_t> counts { { 1, 2 }, { 2, 2 }, { 3, 1 }, { 4, 1 } };
    auto suspicionOf = [&counts](PromptPart part) { return RecentCrashes::Suspicion { counts[part], counts[part] > 0, counts[part] > 1 }; };
    RecentCrashes crashes(16, 1000);
    crashes.add({ 1, 2 });
    CHECK(crashes.haveOtherCause(std::vector<PromptPart> { 1 }, suspicionOf));
    CHECK(!crashes.haveOtherCause(std::vector<PromptPart> { 1, 2 }, suspicionOf));
    // No crash is known of the part.
    CHECK(!crashes.haveOtherCause(std::vector<PromptPart> { 9 }, suspicionOf));
    crashes.add({ 1, 3 });
    CHECK(!crashes.haveOtherCause(std::vector<PromptPart> { 1 }, suspicionOf));
    CHECK(crashes.haveOtherCause(std::vector<PromptPart> { 3 }, suspicionOf));
    crashes.add({ 3, 4 });
    CHECK(crashes.haveOtherCause(std::vector<PromptPart> { 3 }, suspicionOf));
}

}
