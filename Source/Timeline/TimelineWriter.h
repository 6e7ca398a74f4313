#pragma once

#include "Platform/ObjectStore.h"
#include "Timeline/EventRecorder.h"
#include "Transport/EventLoop.h"

namespace Damaskgrade {

// Writes the batches of an EventRecorder to the object store.
class TimelineWriter {
public:
    TimelineWriter(EventLoop& loop, const Clock& clock, ObjectStore& store, EventRecorder& recorder);

private:
    void writeIfDue();

    const Clock& clock_;
    ObjectStore& store_;
    // Pending writes hold weak pointers to it, to detect that this writer was destroyed.
    std::shared_ptr<EventRecorder*> recorder_;
    std::unique_ptr<Timer> timer_;
};

}
