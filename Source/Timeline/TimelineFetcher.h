#pragma once

#include "Core/Endpoint.h"
#include "Platform/ObjectStore.h"
#include "Timeline/TimelineReader.h"
#include "Transport/HttpClient.h"

namespace Damaskgrade {

// Reads the stored batches and the events in memory of the given processes (GET /v1/timeline).
// Sources that can't be read are counted as unreadable; the events of the others are still returned.
class TimelineFetcher {
public:
    using Done = std::function<void(const TimelineReader&)>;

    TimelineFetcher(ObjectStore& store, HttpClient& client);

    // Fetches all events at or after this time. One fetch reads at most 10,000 objects, the newest first.
    void fetch(HybridTime from, const std::vector<Endpoint>& processes, Done done);

private:
    ObjectStore& store_;
    HttpClient& client_;
};

}
