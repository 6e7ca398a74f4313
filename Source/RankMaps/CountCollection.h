#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace Damaskgrade {

// Counts of one or several ranks: how often each expert was selected, for all sets.
struct CountSum {
    // Number of ranks that are included.
    std::uint32_t ranks { 0 };
    std::vector<double> counts;
};

// Adds up the counts of an agent and of the agents to which it has passed a request on. Reports the sum once all have
// responded or the time is over.
class CountCollection {
public:
    using Report = std::function<void(std::uint64_t round, const CountSum& sum)>;

    CountCollection(const Clock& clock, Report onComplete);

    // Starts a round with this number of expected parts. A round that is not complete is reported as it is.
    void begin(std::uint64_t round, std::size_t parts, Duration wait);

    // Adds one part, which may be empty. Ignored if it belongs to another round.
    void add(std::uint64_t round, const CountSum& part);

    // Reports the sum if the time is over. Must be called periodically.
    void tick();

private:
    void finish();

    const Clock& clock_;
    Report onComplete_;
    std::uint64_t round_ { 0 };
    std::size_t missingParts_ { 0 };
    TimePoint deadline_;
    CountSum sum_;
};

}
