#pragma once

#include "Quarantine/PromptPart.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace Damaskgrade {

// For each recent crash during the start of a single response, the prompt parts that may be its cause.
class CrashCauses {
public:
    // Forgets the oldest crash beyond this number.
    explicit CrashCauses(std::size_t maxCrashes);

    void add(std::vector<PromptPart> parts);

    // Rules out the parts that are sound. Removes the crashes that have one possible cause left, or none, and returns those
    // single causes.
    std::vector<PromptPart> takeResolved(const std::function<bool(PromptPart)>& isSound);

private:
    std::size_t maxCrashes_;
    std::deque<std::vector<PromptPart>> crashes_;
};

}
