#include "RankMaps/LoadOrderEncoder.h"

#include <utility>

namespace Damaskgrade {

const EncodedMap& LoadOrderEncoder::encode(RankMapVersion version, const std::shared_ptr<const GroupMap>& map, RankMapVersion lastSentVersion)
{
    if (version != current_.version || map != current_.map) {
        previous_ = std::exchange(current_, { version, map });
        encoded_.clear();
    }
    bool isResend = lastSentVersion != 0 && lastSentVersion == current_.version;
    bool isNext = lastSentVersion != 0 && lastSentVersion == previous_.version;
    RankMapVersion base = isResend || isNext ? lastSentVersion : 0;
    auto found = encoded_.find(base);
    if (found != encoded_.end())
        return found->second;
    EncodedMap encoded;
    if (base == 0) {
        encoded.bytes = encodeMap(*map);
    } else {
        encoded.baseVersion = base;
        encoded.bytes = encodeDifferences(isNext ? differences(*previous_.map, *current_.map) : std::vector<MapDifference>());
    }
    return encoded_.emplace(base, std::move(encoded)).first->second;
}

}
