#pragma once

#include "Timeline/TimelineBatch.h"

#include <map>

namespace Damaskgrade {

// Merges batches and live events of all processes into one list in causal order, without duplicates.
class TimelineReader {
public:
    // Takes in a batch. A batch that can't be decoded is counted and skipped, so that one
    // damaged object does not hide the others.
    void add(std::string_view batchText);
    void add(const TimelineBatch& batch);

    // Notes that an object or a process could not be read, so that the list may be incomplete.
    void addUnreadable();

    // Returns the events from this time on, in order.
    std::vector<TimelineEvent> events(HybridTime from) const;

    std::uint64_t unreadable() const { return unreadable_; }

    // Events that were dropped by their processes.
    std::uint64_t dropped() const;

    // One line for each event, and one for what is missing.
    std::string formatText(HybridTime from) const;

    // {"events": [...], "dropped", "unreadable"}.
    std::string formatJson(HybridTime from) const;

private:
    std::vector<TimelineEvent> events_;
    std::map<std::string, std::uint64_t> droppedByIncarnation_;
    std::uint64_t unreadable_ { 0 };
};

}
