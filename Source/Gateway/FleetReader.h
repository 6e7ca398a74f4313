#pragma once

#include "Core/Random.h"
#include "Fleet/FleetSource.h"
#include "Peers/PeerGroup.h"
#include "Transport/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace Damaskgrade {

struct FleetReaderSettings {
    // How often the designated reader reads the registry. A draining server must not get new requests later than two
    // seconds after the registry lists it as draining.
    std::chrono::milliseconds readPeriod { 500 };
    // An entry reads the registry itself if its snapshot is older than this.
    std::chrono::milliseconds maxAge { 1000 };
    std::chrono::milliseconds checkPeriod { 100 };
};

// Keeps the fleet view up to date. The designated reader reads the registry and sends changes to its peers, so that the
// load on the registry does not grow with the number of entries. An entry is the designated reader if no alive peer with
// a lower name is ready, not draining and has a snapshot younger than maxAge. Because the states of peers arrive with a
// delay, two entries may read for a short time. The other entries read the registry only if their own snapshot, which
// states and snapshots of peers keep up to date, is older than maxAge.
class FleetReader {
public:
    FleetReader(EventLoop& loop, const Clock& clock, const std::string& name, FleetSource& source, FleetView& view, PeerGroup& peers,
        FleetReaderSettings settings, std::function<void(bool)> onReachable);

    // Handles the state of a peer. The peer's snapshot either confirms the local one, or is older and is then replaced by
    // sending the local one.
    void handlePeerState(const EntryStateMessage& state);

    // Handles a snapshot that was received from a peer.
    void handlePeerSnapshot(const FleetMessage& message);

    std::uint64_t digest() const { return digest_; }
    // Returns the age of the current snapshot, at most 10 minutes. Returns this maximum before the first snapshot.
    std::chrono::milliseconds age() const;

private:
    void check();
    void read();
    bool isDesignatedReader() const;
    void apply(const FleetSnapshot& snapshot, TimePoint readAt, bool isLocalRead);

    const Clock& clock_;
    std::string name_;
    FleetSource& source_;
    FleetView& view_;
    PeerGroup& peers_;
    FleetReaderSettings settings_;
    std::function<void(bool)> onReachable_;
    std::unique_ptr<Timer> timer_;
    std::uint64_t digest_ { 0 };
    TimePoint nextRead_;
    std::chrono::milliseconds failureDelay_ { 0 };
    bool isReading_ { false };
    bool isReachable_ { false };
    std::map<std::string, TimePoint> sentAt_;
};

}
