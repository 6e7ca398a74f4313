#include "Forwarding/InFlightTracker.h"

#include <utility>

namespace Damaskgrade {

InFlightTracker::InFlightTracker(const Clock& clock, Duration maxReportAge)
    : clock_(clock)
    , maxReportAge_(maxReportAge)
{
}

void InFlightTracker::started(const std::string& serverId)
{
    ++localChanges_;
    ++localCounts_[serverId];
}

void InFlightTracker::finished(const std::string& serverId)
{
    ++localChanges_;
    auto found = localCounts_.find(serverId);
    if (found != localCounts_.end() && --found->second == 0)
        localCounts_.erase(found);
}

void InFlightTracker::setPeerCounts(const std::string& peer, InFlightCounts counts)
{
    peers_[peer] = { std::move(counts), clock_.now() };
}

double InFlightTracker::inFlight(std::string_view serverId) const
{
    double sum = 0;
    auto localCounts = localCounts_.find(serverId);
    if (localCounts != localCounts_.end())
        sum += localCounts->second;
    for (const auto& [peer, report] : peers_) {
        if (clock_.now() - report.receivedAt > maxReportAge_)
            continue;
        auto found = report.counts.find(serverId);
        if (found != report.counts.end())
            sum += found->second;
    }
    return sum;
}

}
