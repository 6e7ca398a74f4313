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
    // Cost of one prompt block that is not in the cache. This is more than the time to process the block, because
    // processing also delays all other calls of the batch.
    Duration prefillTimePerBlock { std::chrono::milliseconds(4) };
    // Time to load an adapter that is not loaded on the server.
    Duration adapterLoadTime { std::chrono::milliseconds(500) };
    // Weight of the decoding time relative to the time to first token.
    double decodingWeight { 0.25 };
    // Weight of the skew of the server's group, see GroupSkew.
    double skewWeight { 1.0 };
    // A server with calls of this entry in flight that has sent nothing for this long is treated like an ejected one.
    Duration silenceTimeout { std::chrono::milliseconds(1500) };
    // Used until the first call at a server ends.
    Duration assumedCallTime { std::chrono::seconds(2) };
    // Used until the first load report arrives.
    std::uint32_t assumedCapacity { 8 };
    Duration assumedStepTime { std::chrono::milliseconds(20) };
};

// Compares two random candidates and the server with the longest cached prefix, and selects the one with the
// shortest expected time. The expected time includes the wait for a slot in the batch, processing of prompt blocks
// that are not cached, zone latency, loading of the adapter, decoding and the skew of the group.
// Returning servers get an increasing share of the calls. Ejected servers get calls only if no other eligible server
// has a ticket.
class BackendServerSelector : public Selector {
public:
    // Returns the step time of the slowest rank of a model group divided by the mean step time, 1 if unknown.
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
    // Returns null if no server is expected to have any block of the prefix in its cache.
    const BackendServer* longestPrefixHolder(const std::vector<const BackendServer*>& servers, const SelectionRequest& request) const;
    Score score(const BackendServer& server, const SelectionRequest& request) const;
    Duration expectedWait(const BackendServer& server, const SelectionRequest& request) const;
    Duration callTime(const BackendServer& server) const;
    // Estimates the current number of calls at the server. The calls of this entry are known exactly. The number of
    // calls of peer entries comes from the last load report and decays with the mean call time towards the mean of
    // all servers, so that an old report does not attract or repel all calls.
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
