#pragma once

#include "Core/Clock.h"
#include "Core/ResultCode.h"
#include "Timeline/TimelineBatch.h"

#include <deque>

namespace Damaskgrade {

struct EventRecorderOptions {
    std::string instance;
    std::string incarnation;
    // Maximum number of events in memory, stored or not. The oldest are evicted first.
    std::size_t maxEvents { 4096 };
    // Maximum number of events in one object.
    std::size_t maxBatchEvents { 1024 };
    // Minimum time between two writes, which limits the total write rate of all processes.
    Duration writeInterval { std::chrono::seconds(10) };
};

// Records the events of one process and decides which of them to write to the object store, and when.
// An event counts as stored only after the store has acknowledged its batch; until then the write is retried.
class EventRecorder {
public:
    EventRecorder(HybridClock& hybridClock, const EventRecorderOptions& options);

    // Records an event at the current time. Subjects are truncated to 256 bytes, details to 1024.
    void record(EventKind kind, std::string_view subject, std::string_view detail);

    // Returns the batch to write now, if one is due. The caller must pass the result of the write to finishWrite.
    std::optional<TimelineBatch> takeBatch(TimePoint now);

    // Handles the result of the last write. A write with any result but Ok may or may not have been applied.
    void finishWrite(ResultCode result);

    // Returns all events in memory, whether they are stored or not.
    TimelineBatch liveBatch() const;

    // Returns the number of events that were evicted before they were stored.
    std::uint64_t dropped() const { return dropped_; }
    std::size_t unstoredCount() const { return events_.size() - storedCount_; }

private:
    void evictOldestEvent();
    TimelineBatch makeBatch(std::size_t begin, std::size_t end) const;

    HybridClock& hybridClock_;
    EventRecorderOptions options_;
    // First storedCount_ stored events, then writingCount_ events of the batch to be written, then the others.
    std::deque<TimelineEvent> events_;
    std::size_t storedCount_ { 0 };
    std::size_t writingCount_ { 0 };
    bool isWriting_ { false };
    std::uint64_t dropped_ { 0 };
    // Events that were evicted while their batch was being written. They do not count as dropped if the write succeeds.
    std::uint64_t droppedFromWrite_ { 0 };
    std::optional<TimePoint> lastWrite_;
};

}
