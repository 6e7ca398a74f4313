#pragma once

#include "RankMaps/RankMessages.h"

#include <map>
#include <memory>

namespace Damaskgrade {

// Encodes the orders to load a map. An agent that loaded the map before it gets the differences only, as a whole
// map for each rank of a large group would fill the controller's link.
class LoadOrderEncoder {
public:
    // Returns the frame for an agent to which the map of that version was sent last, or any other number.
    const Frame& encode(const RankOrderMessage& message, RankMapVersion lastSentVersion, HybridTime time);

private:
    struct LoadedMap {
        RankMapVersion version { 0 };
        std::shared_ptr<const GroupMap> map;
    };

    LoadedMap previous_;
    LoadedMap current_;
    // By the version that the agent knows; 0 for whole maps.
    std::map<RankMapVersion, Frame> frames_;
};

}
