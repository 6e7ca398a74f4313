#include "Evacuation/ZoneEvacuations.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Damaskgrade {

ZoneEvacuations::ZoneEvacuations(const Clock& clock, ZoneEvacuationsSettings settings, Observer observer)
    : clock_(clock)
    , settings_(settings)
    , observer_(std::move(observer))
{
}

void ZoneEvacuations::apply(const EvacuationUpdate& update)
{
    if (!isNewer(update.position))
        return;
    if (isKnown_ && update.position.generation > position_.generation) {
        for (const auto& [zone, since] : zones_)
            unconfirmed_[zone] = clock_.now() + settings_.copyLifetime;
    }
    isKnown_ = true;
    position_ = update.position;
    std::set<std::string, std::less<>> listed;
    for (const EvacuationRow& row : update.rows) {
        unconfirmed_.erase(row.zone);
        if (row.isRemoved) {
            end(row.zone, false);
            continue;
        }
        listed.insert(row.zone);
        start(row.zone, false);
    }
    std::vector<std::string> ended;
    for (const auto& [zone, since] : zones_) {
        auto unconfirmed = unconfirmed_.find(zone);
        bool isDropped = unconfirmed != unconfirmed_.end() ? clock_.now() >= unconfirmed->second : update.isComplete && listed.count(zone) == 0;
        if (isDropped)
            ended.push_back(zone);
    }
    for (const std::string& zone : ended)
        end(zone, false);
}

void ZoneEvacuations::applyPeer(const EvacuationKnowledge& peer)
{
    if (!peer.isKnown || !isNewer(peer.position))
        return;
    isKnown_ = true;
    position_ = peer.position;
    std::vector<std::string> ended;
    for (const auto& [zone, since] : zones_) {
        if (std::find(peer.zones.begin(), peer.zones.end(), zone) == peer.zones.end())
            ended.push_back(zone);
    }
    for (const std::string& zone : ended)
        end(zone, true);
    for (const std::string& zone : peer.zones)
        start(zone, true);
}

EvacuationKnowledge ZoneEvacuations::knowledge() const
{
    EvacuationKnowledge result { isKnown_, position_, {} };
    for (const auto& [zone, since] : zones_)
        result.zones.push_back(zone);
    return result;
}

void ZoneEvacuations::start(const std::string& zone, bool isFromPeer)
{
    if (zones_.emplace(zone, clock_.now()).second)
        observer_(zone, true, position_, isFromPeer);
}

void ZoneEvacuations::end(const std::string& zone, bool isFromPeer)
{
    unconfirmed_.erase(zone);
    if (zones_.erase(zone) > 0)
        observer_(zone, false, position_, isFromPeer);
}

}
