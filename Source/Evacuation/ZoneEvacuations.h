#pragma once

#include "Core/Clock.h"
#include "Evacuation/EvacuationMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct ZoneEvacuationsSettings {
    // How long a new generation of the store ends no evacuation, because it began as an older copy and the operator's rows
    // are written again.
    Duration copyLifetime { std::chrono::seconds(10) };
};

// The availability zones that the operator has asked to evacuate.
//
// Knowledge is replaced as a whole by knowledge as of a higher position, from the store or from a peer. So a message that was
// delayed, or an entry that was paused, can neither start nor end an evacuation.
class ZoneEvacuations {
public:
    // Called when an evacuation starts or ends.
    using Observer = std::function<void(const std::string& zone, bool isEvacuated, const EvacuationPosition& position, bool isFromPeer)>;

    ZoneEvacuations(const Clock& clock, ZoneEvacuationsSettings settings, Observer observer);

    // Applies an answer of the store. An update that is not complete must begin at the position of an earlier one.
    void apply(const EvacuationUpdate& update);

    // Applies the knowledge of a peer.
    void applyPeer(const EvacuationKnowledge& peer);

    EvacuationKnowledge knowledge() const;

    bool isKnown() const { return isKnown_; }
    bool isEvacuated(std::string_view zone) const { return zones_.find(zone) != zones_.end(); }

    // Returns since when this entry has known of each evacuation.
    const std::map<std::string, TimePoint, std::less<>>& zones() const { return zones_; }

private:
    bool isNewer(const EvacuationPosition& position) const { return !isKnown_ || position_ < position; }
    void start(const std::string& zone, bool isFromPeer);
    void end(const std::string& zone, bool isFromPeer);

    const Clock& clock_;
    ZoneEvacuationsSettings settings_;
    Observer observer_;
    bool isKnown_ { false };
    EvacuationPosition position_;
    std::map<std::string, TimePoint, std::less<>> zones_;
    // Evacuations that are known from an earlier generation only, until they end unless their row is written again.
    std::map<std::string, TimePoint, std::less<>> unconfirmed_;
};

}
