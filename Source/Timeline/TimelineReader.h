#pragma once

#include "Timeline/TimelineBatch.h"

#include <map>

namespace Damaskgrade {

// Merges batches and live events of all processes into one list in causal order, without duplicates.
class TimelineReader {
public:
    // Adds a batch. A batch that can't be decoded is counted as unreadable and skipped, so that one
    // damaged object does not hide the others.
    void add(std::string_view batchText);
    void add(const TimelineBatch& batch);

    // Records that an object or a process could not be read, so that the list may be incomplete.
    void addUnreadable();

    // Returns the events at or after this time, in causal order.
    std::vector<TimelineEvent> events(HybridTime from) const;

    std::uint64_t unreadable() const { return unreadable_; }

    // Returns the number of events that processes dropped before storing them.
    std::uint64_t dropped() const;

    // Returns one line per event, and a last line if the list is incomplete.
    std::string formatText(HybridTime from) const;

    // Returns {"events": [...], "dropped", "unreadable"}.
    std::string formatJson(HybridTime from) const;

private:
    std::vector<TimelineEvent> events_;
    std::map<std::string, std::uint64_t> droppedByIncarnation_;
    std::uint64_t unreadable_ { 0 };
};

}
