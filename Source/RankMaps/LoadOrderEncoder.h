#pragma once

#include "RankMaps/RankMessages.h"

#include <map>
#include <memory>

namespace Damaskgrade {

// A map as it is sent to an agent: complete, or as differences to the map with the base version.
struct EncodedMap {
    std::optional<RankMapVersion> baseVersion;
    Bytes bytes;
};

// Encodes the maps of orders to load them. An agent that has the previous map is sent only the differences.
class LoadOrderEncoder {
public:
    // Encodes the map for agents whose last map had the version lastSentVersion. If that is neither this version nor the
    // one before it (0 for an agent without a map), the result has the complete map. The reference is valid until
    // the next call.
    const EncodedMap& encode(RankMapVersion version, const std::shared_ptr<const GroupMap>& map, RankMapVersion lastSentVersion);

private:
    struct LoadedMap {
        RankMapVersion version { 0 };
        std::shared_ptr<const GroupMap> map;
    };

    LoadedMap previous_;
    LoadedMap current_;
    // By the version that the agent has; 0 for the complete map.
    std::map<RankMapVersion, EncodedMap> encoded_;
};

}
