#pragma once

#include "RankMaps/RankMessages.h"

#include <map>
#include <memory>

namespace Damaskgrade {

// Encodes the orders to load a map. An agent that has the previous map is sent only the differences, because a
// complete map for each rank of a large group would saturate the controller's link.
class LoadOrderEncoder {
public:
    // Returns the frame for an agent whose last map had the version lastSentVersion. If that is neither the version in the
    // message nor the one before it (0 for an agent without a map), the frame has the complete map. The reference is
    // valid until the next call.
    const Frame& encode(const RankOrderMessage& message, RankMapVersion lastSentVersion, HybridTime time);

private:
    struct LoadedMap {
        RankMapVersion version { 0 };
        std::shared_ptr<const GroupMap> map;
    };

    LoadedMap previous_;
    LoadedMap current_;
    // By the version that the agent has; 0 for the frame with the complete map.
    std::map<RankMapVersion, Frame> frames_;
};

}
