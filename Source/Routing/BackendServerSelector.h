#pragma once

#include "Core/Random.h"
#include "Routing/OutlierDetector.h"
#include "Routing/PrefixCacheIndex.h"
#include "Routing/Selector.h"
#include "Routing/ZoneLatencies.h"

#include <functional>

namespace Damaskgrade {

struct SelectorSettings {
    std::string localZone;
    // Cost of one prompt block that is not in the cache. Above the time to process it, because that time
    // also delays all other calls of the batch.
    Duration prefillTimePerBlock { std::chrono::milliseconds(4) };
    // Time to load an adapter that the server does not have.
    Duration adapterLoadTime { std::chrono::milliseconds(500) };
    // Weight of the decoding time against the time to first token.
    double decodingWeight { 0.25 };
    // Weight of the skew of the server's group (R8).
    double skewWeight { 1.0 };
    // A server that has calls of this entry and was not heard of for this long is avoided like a suspected one.
    Duration silenceTimeout { std::chrono::milliseconds(1500) };
    // Assumed until the first call of a server ended.
    Duration assumedCallTime { std::chrono::seconds(2) };
    // Assumed until the first load report.
    std::uint32_t assumedCapacity { 8 };
    Duration assumedStepTime { std::chrono::milliseconds(20) };
};

// Selects the best of two random candidates and the server with the longest cached prefix by expected time: waiting for a place in the batch,
// prompt blocks that are not cached, zone latency, adapter, decoding and skew of the group.
// Ejected servers get nothing, returning ones a rising share.
class BackendServerSelector : public Selector {
public:
    // Returns the slowest rank's step time over the mean of a model group, 1 if unknown.
    using GroupSkew = std::function<double(std::string_view group)>;

    BackendServerSelector(const BackendServerTable& table, const PrefixCacheIndex& cache, const OutlierDetector& outliers,
        const ZoneLatencies& latencies, Random& random, SelectorSettings settings, GroupSkew groupSkew);

    Selection select(const SelectionRequest& request) override;

private:
    struct Score {
        const BackendServer* server { nullptr };
        std::size_t hitBlocks { 0 };
        Duration timeToFirstToken { 0 };
        Duration total { 0 };
    };

    std::vector<const BackendServer*> admissible(const std::vector<const BackendServer*>& servers);
    bool isSilent(const BackendServer& server) const;
    Score bestCandidate(const std::vector<const BackendServer*>& servers, const SelectionRequest& request);
    // Returns null if no server is expected to have a block of the prefix.
    const BackendServer* longestPrefixHolder(const std::vector<const BackendServer*>& servers, const SelectionRequest& request) const;
    Score score(const BackendServer& server, const SelectionRequest& request) const;
    Duration expectedWait(const BackendServer& server, const SelectionRequest& request) const;
    Duration callTime(const BackendServer& server) const;
    // Own calls in flight are known. Those of other entries at the time of the report end with the call time
    // and are replaced by the mean of all servers, so that an old report does not attract or repel all calls.
    double estimatedCalls(const BackendServer& server) const;
    Duration expectedDecoding(const BackendServer& server, const SelectionRequest& request) const;

    const BackendServerTable& table_;
    const PrefixCacheIndex& cache_;
    const OutlierDetector& outliers_;
    const ZoneLatencies& latencies_;
    Random& random_;
    SelectorSettings settings_;
    GroupSkew groupSkew_;
    double meanCallsFromPeerEntries_ { 0 };
};

}
