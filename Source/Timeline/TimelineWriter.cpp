#include "Timeline/TimelineWriter.h"

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds checkPeriod { 1000 };

}

TimelineWriter::TimelineWriter(EventLoop& loop, const Clock& clock, ObjectStore& store, EventRecorder& recorder)
    : clock_(clock)
    , store_(store)
    , recorder_(std::make_shared<EventRecorder*>(&recorder))
    , timer_(loop.every(checkPeriod, [this] { writeIfDue(); }))
{
}

void TimelineWriter::writeIfDue()
{
    std::optional<TimelineBatch> batch = (*recorder_)->takeBatch(clock_.now());
    if (!batch)
        return;
    store_.put(timelineKey(*batch), encodeTimelineBatch(*batch), [weak = std::weak_ptr<EventRecorder*>(recorder_)](ResultCode result) {
        if (std::shared_ptr<EventRecorder*> recorder = weak.lock())
            (*recorder)->finishWrite(result);
    });
}

}
