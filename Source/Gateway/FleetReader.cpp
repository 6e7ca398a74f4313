#include "Gateway/FleetReader.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds maxReportedAge { 600000 };
constexpr std::chrono::milliseconds minFailureDelay { 150 };
constexpr std::chrono::milliseconds maxFailureDelay { 600 };
// Minimum time between two snapshots that are sent to the same peer because its snapshot is older.
constexpr std::chrono::milliseconds resendPeriod { 400 };

}

FleetReader::FleetReader(EventLoop& loop, const Clock& clock, const std::string& name, FleetSource& source, FleetView& view, PeerGroup& peers,
    FleetReaderSettings settings, std::function<void(bool)> onReachable)
    : clock_(clock)
    , name_(name)
    , source_(source)
    , view_(view)
    , peers_(peers)
    , settings_(settings)
    , onReachable_(std::move(onReachable))
    , timer_(loop.every(settings.checkPeriod, [this] { check(); }))
    , nextRead_(clock.now())
{
}

std::chrono::milliseconds FleetReader::age() const
{
    if (!view_.hasData())
        return maxReportedAge;
    return std::min(maxReportedAge, std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - view_.asOf()));
}

void FleetReader::check()
{
    if (isReading_ || clock_.now() < nextRead_)
        return;
    std::chrono::milliseconds ageLimit = isDesignatedReader() ? settings_.readPeriod : settings_.maxAge;
    if (!view_.hasData() || age() >= ageLimit)
        read();
}

void FleetReader::read()
{
    isReading_ = true;
    TimePoint requestedAt = clock_.now();
    source_.read([this, requestedAt](std::optional<FleetSnapshot> snapshot) {
        isReading_ = false;
        bool isReachable = snapshot.has_value();
        if (isReachable != isReachable_) {
            isReachable_ = isReachable;
            onReachable_(isReachable);
        }
        if (!snapshot) {
            view_.recordReadFailure();
            failureDelay_ = std::clamp(failureDelay_ * 2, minFailureDelay, maxFailureDelay);
            nextRead_ = clock_.now() + failureDelay_;
            return;
        }
        failureDelay_ = std::chrono::milliseconds::zero();
        apply(*snapshot, requestedAt, true);
    });
}

bool FleetReader::isDesignatedReader() const
{
    std::vector<EntryStateMessage> alive = peers_.alive();
    return std::none_of(alive.begin(), alive.end(), [this](const EntryStateMessage& peer) {
        return peer.isReady && !peer.isDraining && peer.fleetAge < settings_.maxAge && peer.name < name_;
    });
}

void FleetReader::handlePeerState(const EntryStateMessage& state)
{
    if (!view_.hasData())
        return;
    TimePoint knownAt = clock_.now() - state.fleetAge;
    const FleetPosition& position = view_.lastSnapshot().position;
    bool isSameHistory = state.fleetPosition.generation >= position.generation;
    if (state.fleetDigest == digest_ && isSameHistory) {
        // The peer has the same servers. If its snapshot is more recent, it confirms the local one.
        if (knownAt > view_.asOf()) {
            FleetSnapshot confirmed = view_.lastSnapshot();
            confirmed.position = std::max(confirmed.position, state.fleetPosition);
            view_.apply(confirmed, knownAt);
        }
        return;
    }
    bool isPeerBehind = state.fleetPosition < position;
    TimePoint& sentAt = sentAt_[state.name];
    if (isPeerBehind && clock_.now() - sentAt >= resendPeriod) {
        sentAt = clock_.now();
        peers_.sendFleet(state.name, { view_.lastSnapshot(), age() });
    }
}

void FleetReader::handlePeerSnapshot(const FleetMessage& message)
{
    apply(message.snapshot, clock_.now() - message.age, false);
}

void FleetReader::apply(const FleetSnapshot& snapshot, TimePoint readAt, bool isLocalRead)
{
    view_.apply(snapshot, readAt);
    std::uint64_t digest = fleetDigest(view_.lastSnapshot());
    bool isChanged = digest != digest_;
    digest_ = digest;
    if (!isLocalRead || !isChanged)
        return;
    for (const EntryStateMessage& peer : peers_.alive()) {
        sentAt_[peer.name] = clock_.now();
        peers_.sendFleet(peer.name, { view_.lastSnapshot(), age() });
    }
}

}
