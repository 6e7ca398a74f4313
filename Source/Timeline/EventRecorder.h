#pragma once

#include "Core/Clock.h"
#include "Core/ResultCode.h"
#include "Timeline/TimelineBatch.h"

#include <deque>

namespace Damaskgrade {

struct EventRecorderOptions {
    std::string instance;
    std::string incarnation;
    // Events in memory, stored or not. The oldest are dropped first.
    std::size_t maxEvents { 4096 };
    // Events in one object.
    std::size_t maxBatchEvents { 1024 };
    // The shortest time between two writes, which bounds the writes of all processes together.
    Duration writeInterval { std::chrono::seconds(10) };
};

// Records the events of one process and decides when which of them are written to the object store.
// An event counts as stored only after the store has acknowledged its batch; until then the batch is written again.
class EventRecorder {
public:
    EventRecorder(HybridClock& hybridClock, const EventRecorderOptions& options);

    // Records an event at the current time. Long subjects and details are cut.
    void record(EventKind kind, std::string_view subject, std::string_view detail);

    // Returns the batch to write now, if any. The result of the write goes to finishWrite.
    std::optional<TimelineBatch> takeBatch(TimePoint now);

    // Takes the result of the last write. Anything but Ok may have been applied or not.
    void finishWrite(ResultCode result);

    // Returns the events in memory, to be served live.
    TimelineBatch liveBatch() const;

    // Events that were dropped before they were stored.
    std::uint64_t dropped() const { return dropped_; }
    std::size_t unstoredCount() const { return events_.size() - storedCount_; }

private:
    void evictOldestEvent();
    TimelineBatch makeBatch(std::size_t begin, std::size_t end) const;

    HybridClock& hybridClock_;
    EventRecorderOptions options_;
    // First the stored events, then those of the batch that is being written, then the others.
    std::deque<TimelineEvent> events_;
    std::size_t storedCount_ { 0 };
    std::size_t writingCount_ { 0 };
    bool isWriting_ { false };
    std::uint64_t dropped_ { 0 };
    // Events that were dropped while their batch was being written, and may be stored by it.
    std::uint64_t droppedFromWrite_ { 0 };
    std::optional<TimePoint> lastWrite_;
};

}
