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
    // How often the reader among the entries reads the registry. A server that drains must get no request
    // two seconds after the registry says so.
    std::chrono::milliseconds readPeriod { 500 };
    // An entry whose knowledge is older than this reads the registry itself.
    std::chrono::milliseconds maxAge { 1000 };
    std::chrono::milliseconds checkPeriod { 100 };
};

// Keeps the view of the fleet fresh. The first ready entry by name reads the registry and passes changes
// on, so that the calls do not grow with the entries; the others read it only when they hear nothing fresh.
class FleetReader {
public:
    FleetReader(EventLoop& loop, const Clock& clock, const std::string& name, FleetSource& source, FleetView& view, PeerGroup& peers,
        FleetReaderSettings settings, std::function<void(bool)> onReachable);

    // A peer told its state: its knowledge may confirm the own, or be older than it.
    void handlePeerState(const EntryStateMessage& state);

    // A peer passed its snapshot on.
    void handlePeerSnapshot(const FleetMessage& message);

    std::uint64_t digest() const { return digest_; }
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
