#include "Forwarding/LoadBoard.h"

#include <utility>

namespace Damaskgrade {

LoadBoard::LoadBoard(const Clock& clock, Duration maxReportAge)
    : clock_(clock)
    , maxReportAge_(maxReportAge)
{
}

void LoadBoard::started(const std::string& serverId)
{
    ++own_[serverId];
}

void LoadBoard::finished(const std::string& serverId)
{
    auto found = own_.find(serverId);
    if (found != own_.end() && --found->second == 0)
        own_.erase(found);
}

void LoadBoard::setPeerCounts(const std::string& peer, InFlightCounts counts)
{
    peers_[peer] = { std::move(counts), clock_.now() };
}

double LoadBoard::inFlight(std::string_view serverId) const
{
    double sum = 0;
    auto own = own_.find(serverId);
    if (own != own_.end())
        sum += own->second;
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
