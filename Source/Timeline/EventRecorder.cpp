#include "Timeline/EventRecorder.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t maxSubjectBytes = 256;
constexpr std::size_t maxDetailBytes = 1024;

}

EventRecorder::EventRecorder(HybridClock& hybridClock, const EventRecorderOptions& options)
    : hybridClock_(hybridClock)
    , options_(options)
{
}

void EventRecorder::record(EventKind kind, std::string_view subject, std::string_view detail)
{
    evictOldestEvent();
    TimelineEvent event;
    event.time = hybridClock_.tick();
    event.instance = options_.instance;
    event.incarnation = options_.incarnation;
    event.kind = kind;
    event.subject = subject.substr(0, maxSubjectBytes);
    event.detail = detail.substr(0, maxDetailBytes);
    events_.push_back(std::move(event));
}

std::optional<TimelineBatch> EventRecorder::takeBatch(TimePoint now)
{
    bool isTooEarly = lastWrite_ && now - *lastWrite_ < options_.writeInterval;
    if (isWriting_ || isTooEarly || unstoredCount() == 0)
        return std::nullopt;
    // A batch whose write failed keeps its events and therefore its key, so that the retry overwrites it if it was applied.
    if (writingCount_ == 0)
        writingCount_ = std::min(unstoredCount(), options_.maxBatchEvents);
    isWriting_ = true;
    droppedFromWrite_ = 0;
    lastWrite_ = now;
    return makeBatch(storedCount_, storedCount_ + writingCount_);
}

void EventRecorder::finishWrite(ResultCode result)
{
    isWriting_ = false;
    if (result != ResultCode::Ok)
        return;
    dropped_ -= droppedFromWrite_;
    storedCount_ += writingCount_;
    writingCount_ = 0;
}

TimelineBatch EventRecorder::liveBatch() const
{
    return makeBatch(0, events_.size());
}

void EventRecorder::evictOldestEvent()
{
    if (events_.size() < options_.maxEvents)
        return;
    events_.pop_front();
    if (storedCount_ > 0) {
        --storedCount_;
        return;
    }
    ++dropped_;
    // The remaining events of the batch get a different key, so that they never overwrite a batch with more events.
    if (writingCount_ == 0)
        return;
    --writingCount_;
    if (isWriting_)
        ++droppedFromWrite_;
}

TimelineBatch EventRecorder::makeBatch(std::size_t begin, std::size_t end) const
{
    TimelineBatch batch;
    batch.instance = options_.instance;
    batch.incarnation = options_.incarnation;
    batch.dropped = dropped_;
    for (std::size_t index = begin; index < end; ++index)
        batch.events.push_back(events_[index]);
    return batch;
}

}
