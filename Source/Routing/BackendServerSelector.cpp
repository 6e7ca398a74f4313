#include "Routing/BackendServerSelector.h"

#include <algorithm>
#include <cmath>

namespace Damaskgrade {

namespace {

double meanCallsFromPeerEntries(const std::vector<const BackendServer*>& servers)
{
    double total = 0;
    for (const BackendServer* server : servers)
        total += static_cast<double>(callsFromPeerEntries(*server));
    return total / static_cast<double>(servers.size());
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

// Returns the factor by which the step time grows from the reported to the expected batch size. Assumes that half
// of the step time with a full batch does not depend on the batch size.
double stepTimeFactor(const BackendServer& server, double expected)
{
    double capacity = std::max(1.0, static_cast<double>(server.load.capacity));
    double calls = std::min(capacity, expected);
    return (capacity + calls) / (capacity + server.load.running);
}

}

BackendServerSelector::BackendServerSelector(const BackendServerTable& table, const PrefixCacheIndex& cache,
    const OutlierDetector& outliers, const ZoneLatencies& latencies, Random& random, SelectorSettings settings, GroupSkew groupSkew)
    : table_(table)
    , cache_(cache)
    , outliers_(outliers)
    , latencies_(latencies)
    , random_(random)
    , settings_(std::move(settings))
    , groupSkew_(std::move(groupSkew))
{
}

Selection BackendServerSelector::select(const SelectionRequest& request)
{
    Selection selection;
    Eligibility eligibility = eligibleServers(table_, request);
    if (eligibility.withTicket.empty()) {
        selection.code = eligibility.count == 0 ? ResultCode::NoBackendServer : ResultCode::Overloaded;
        return selection;
    }
    meanCallsFromPeerEntries_ = meanCallsFromPeerEntries(eligibility.withTicket);
    Score best = bestCandidate(admissible(eligibility.withTicket), request);
    selection.code = ResultCode::Ok;
    selection.server = best.server->name;
    selection.expectedTimeToFirstToken = best.timeToFirstToken;
    selection.expectedHitBlocks = best.hitBlocks;
    return selection;
}

std::vector<const BackendServer*> BackendServerSelector::admissible(const std::vector<const BackendServer*>& servers)
{
    std::vector<const BackendServer*> healthy;
    std::vector<const BackendServer*> returning;
    for (const BackendServer* server : servers) {
        double share = isSilent(*server) ? 0 : outliers_.admissionShare(server->name);
        if (share >= 1 || (share > 0 && random_.fraction() < share))
            healthy.push_back(server);
        else if (share > 0)
            returning.push_back(server);
    }
    if (!healthy.empty())
        return healthy;
    // Use a ticket of a returning or ejected server rather than let the call wait.
    return returning.empty() ? servers : returning;
}

bool BackendServerSelector::isSilent(const BackendServer& server) const
{
    return !server.callsInFlight.empty() && table_.now() - server.lastSeen > settings_.silenceTimeout;
}

BackendServerSelector::Score BackendServerSelector::bestCandidate(
    const std::vector<const BackendServer*>& servers, const SelectionRequest& request)
{
    std::size_t first = random_.index(servers.size());
    Score best = score(*servers[first], request);
    if (servers.size() == 1)
        return best;
    // Draw the second candidate from the remaining servers, so that the two always differ.
    std::size_t second = random_.index(servers.size() - 1);
    if (second >= first)
        ++second;
    Score other = score(*servers[second], request);
    if (other.total < best.total)
        best = other;
    const BackendServer* holder = longestPrefixHolder(servers, request);
    if (!holder)
        return best;
    Score third = score(*holder, request);
    return third.total < best.total ? third : best;
}

const BackendServer* BackendServerSelector::longestPrefixHolder(
    const std::vector<const BackendServer*>& servers, const SelectionRequest& request) const
{
    const BackendServer* holder = nullptr;
    std::size_t longest = 0;
    for (const BackendServer* server : servers) {
        std::size_t hits = cache_.hitBlocks(server->name, request.prefix);
        bool isBetter = hits > longest || (hits == longest && hits > 0 && expectedCalls(*server) < expectedCalls(*holder));
        if (!isBetter)
            continue;
        longest = hits;
        holder = server;
    }
    return holder;
}

BackendServerSelector::Score BackendServerSelector::score(const BackendServer& server, const SelectionRequest& request) const
{
    Score result;
    result.server = &server;
    result.hitBlocks = cache_.hitBlocks(server.name, request.prefix);
    Duration prefill = settings_.prefillTimePerBlock * static_cast<std::int64_t>(request.prefix.size() - result.hitBlocks);
    Duration zone = 2 * latencies_.between(settings_.localZone, server.availabilityZone);
    result.timeToFirstToken = expectedWait(server, request) + prefill + zone;
    const std::vector<std::string>& adapters = server.traits.adapters;
    if (!request.adapter.empty() && std::find(adapters.begin(), adapters.end(), request.adapter) == adapters.end())
        result.timeToFirstToken += settings_.adapterLoadTime;
    result.total = result.timeToFirstToken + scaled(expectedDecoding(server, request), settings_.decodingWeight);
    return result;
}

Duration BackendServerSelector::expectedWait(const BackendServer& server, const SelectionRequest& request) const
{
    std::size_t capacity = server.hasLoad && server.load.capacity > 0 ? server.load.capacity : settings_.assumedCapacity;
    double calls = estimatedCalls(server);
    if (calls < static_cast<double>(capacity))
        return Duration::zero();
    double ahead = calls - static_cast<double>(capacity) + 1;
    // The engine starts a call with priority before all queued calls.
    if (request.priority > 0)
        ahead = 1;
    return scaled(callTime(server), ahead / static_cast<double>(capacity));
}

Duration BackendServerSelector::callTime(const BackendServer& server) const
{
    return server.meanCallTime > Duration::zero() ? server.meanCallTime : settings_.assumedCallTime;
}

double BackendServerSelector::estimatedCalls(const BackendServer& server) const
{
    double localCalls = static_cast<double>(server.callsInFlight.size());
    if (!server.hasLoad)
        return localCalls + meanCallsFromPeerEntries_;
    double age = std::chrono::duration<double>(table_.now() - server.loadTakenAt).count();
    double kept = std::exp(-age / std::chrono::duration<double>(callTime(server)).count());
    return localCalls + kept * static_cast<double>(callsFromPeerEntries(server)) + (1 - kept) * meanCallsFromPeerEntries_;
}

Duration BackendServerSelector::expectedDecoding(const BackendServer& server, const SelectionRequest& request) const
{
    Duration stepTime = settings_.assumedStepTime;
    if (server.hasLoad && server.load.stepTime > std::chrono::microseconds::zero())
        stepTime = scaled(server.load.stepTime, stepTimeFactor(server, estimatedCalls(server)));
    Duration decoding = stepTime * request.expectedTokens;
    double skew = server.group.empty() || !groupSkew_ ? 1 : groupSkew_(server.group);
    return scaled(decoding, 1 + (skew - 1) * settings_.skewWeight);
}

}
