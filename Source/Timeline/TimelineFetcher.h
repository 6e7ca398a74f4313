#pragma once

#include "Core/Endpoint.h"
#include "Platform/ObjectStore.h"
#include "Timeline/TimelineReader.h"
#include "Transport/HttpClient.h"

namespace Damaskgrade {

// Reads the stored batches and the live events of the given processes (GET /v1/timeline).
// What can't be read is counted as unreadable; the rest is still returned.
class TimelineFetcher {
public:
    using Done = std::function<void(const TimelineReader&)>;

    TimelineFetcher(ObjectStore& store, HttpClient& client);

    // Fetches all events from this time on. One fetch reads at most 10,000 objects, the newest first.
    void fetch(HybridTime from, const std::vector<Endpoint>& processes, Done done);

private:
    ObjectStore& store_;
    HttpClient& client_;
};

}
