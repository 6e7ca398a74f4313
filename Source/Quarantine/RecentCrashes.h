#pragma once

#include "Quarantine/PromptPart.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <gsl/span>
#include <vector>

namespace Damaskgrade {

// The prompt parts that were in use at each of the most recent crashes.
class RecentCrashes {
public:
    // What is known of one part.
    struct Suspicion {
        std::uint32_t crashes { 0 };
        bool isRestricted { false };
        bool isBlocked { false };
    };

    // Forgets the oldest crash beyond this number of crashes, or of parts of all of them.
    RecentCrashes(std::size_t maxCrashes, std::size_t maxParts);

    void add(std::vector<PromptPart> parts);

    // Returns the parts that are not needed as the cause of any of the crashes: at each crash with such a part, a blocked part
    // with more crashes was in use as well.
    std::vector<PromptPart> explained(const std::function<Suspicion(PromptPart)>& suspicionOf) const;

    // Returns whether each crash at which one of the parts was in use may have been caused by a part that is not one of them and
    // has at least as many crashes, and whether there is such a crash. The parts must be sorted.
    bool haveOtherCause(gsl::span<const PromptPart> parts, const std::function<Suspicion(PromptPart)>& suspicionOf) const;

    std::size_t partCount() const { return partCount_; }

private:
    // Each sorted, without duplicates.
    std::deque<std::vector<PromptPart>> crashes_;
    std::size_t maxCrashes_;
    std::size_t maxParts_;
    std::size_t partCount_ { 0 };
};

}
