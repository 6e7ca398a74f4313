#include "Fleet/FleetView.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

FleetView::FleetView(const Clock& clock, FleetViewSettings settings, LeaveObserver onLeave)
    : clock_(clock)
    , settings_(settings)
    , onLeave_(std::move(onLeave))
    , graceUntil_(clock.now())
    , copyUntil_(clock.now())
{
}

bool FleetView::apply(const FleetSnapshot& snapshot, TimePoint readAt)
{
    if (hasData_ && (snapshot.position < lastSnapshot_.position || readAt < asOf_))
        return false;
    // An outage ends with a snapshot that was read after it. Peers may state older ones in the meantime.
    if (outageSince_ && readAt >= lastFailureAt_) {
        if (readAt - *outageSince_ > settings_.outageThreshold)
            graceUntil_ = clock_.now() + settings_.returnGrace;
        outageSince_.reset();
    }
    if (hasData_ && snapshot.position.generation > lastSnapshot_.position.generation) {
        graceUntil_ = clock_.now() + settings_.returnGrace;
        copyUntil_ = clock_.now() + settings_.copyLifetime;
    }
    asOf_ = readAt;
    hasData_ = true;
    bool isChanged = !(lastSnapshot_.servers == snapshot.servers);
    lastSnapshot_ = snapshot;
    removeOldLeftServers();

    std::map<std::string, ServerRecord, std::less<>> next;
    for (const ServerRecord& listed : snapshot.servers) {
        // The registry record of a stopped server expires only after a while. If a server with a later start time has the
        // same address, the older record is outdated.
        bool isReplaced = std::any_of(snapshot.servers.begin(), snapshot.servers.end(), [&listed](const ServerRecord& other) {
            return other.address == listed.address && other.startedAt > listed.startedAt;
        });
        bool wasDraining = false;
        if (isReplaced || hasLeft(listed, wasDraining))
            continue;
        ServerRecord record = listed;
        auto known = servers_.find(record.id);
        bool isSameStart = known != servers_.end() && known->second.address == record.address && known->second.startedAt == record.startedAt;
        if (record.isDraining || !isSameStart)
            statedLeaving_.erase(record.id);
        if (wasDraining || (isSameStart && known->second.isDraining))
            record.isDraining = true;
        if (isSameStart && !known->second.isDraining && record.isDraining)
            onLeave_(record);
        next.emplace(record.id, std::move(record));
    }
    for (auto& [id, record] : servers_) {
        if (next.count(id) != 0)
            continue;
        bool isAddressTaken = std::any_of(next.begin(), next.end(), [&record = record](const auto& entry) { return entry.second.address == record.address; });
        if (clock_.now() < graceUntil_ && !isAddressTaken) {
            next.emplace(id, record);
            continue;
        }
        isChanged = true;
        left_[id] = { record.address, record.startedAt, clock_.now(), record.isDraining };
        statedLeaving_.erase(id);
        if (!record.isDraining)
            onLeave_(record);
    }
    servers_ = std::move(next);
    return isChanged;
}

bool FleetView::recordLeaving(const ServerStart& server)
{
    auto known = servers_.find(server.id);
    if (known == servers_.end() || known->second.startedAt != server.startedAt || known->second.isDraining)
        return false;
    known->second.isDraining = true;
    statedLeaving_[server.id] = server.startedAt;
    onLeave_(known->second);
    return true;
}

std::vector<ServerStart> FleetView::statedLeaving() const
{
    std::vector<ServerStart> servers;
    servers.reserve(statedLeaving_.size());
    for (const auto& [id, startedAt] : statedLeaving_)
        servers.push_back({ id, startedAt });
    return servers;
}

// Forgets a server that is listed again, unless the list may be a copy from before it left. Sets wasDraining if it is the same
// start and was draining when it left.
bool FleetView::hasLeft(const ServerRecord& listed, bool& wasDraining)
{
    auto left = left_.find(listed.id);
    if (left == left_.end())
        return false;
    bool isSameStart = left->second.address == listed.address && left->second.startedAt == listed.startedAt;
    wasDraining = isSameStart && left->second.wasDraining;
    if (isSameStart && clock_.now() < copyUntil_)
        return true;
    left_.erase(left);
    return false;
}

void FleetView::removeOldLeftServers()
{
    for (auto left = left_.begin(); left != left_.end();)
        left = clock_.now() - left->second.leftAt > settings_.leftMemory ? left_.erase(left) : std::next(left);
}

void FleetView::recordReadFailure()
{
    if (hasData_ && !outageSince_)
        outageSince_ = asOf_;
    lastFailureAt_ = clock_.now();
}

const ServerRecord* FleetView::find(std::string_view id) const
{
    auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

std::vector<const ServerRecord*> FleetView::ready(std::string_view service) const
{
    std::vector<const ServerRecord*> result;
    for (const auto& [id, record] : servers_) {
        if (record.service == service && !record.isDraining)
            result.push_back(&record);
    }
    return result;
}

}
