#include "RankMaps/LoadOrderEncoder.h"

#include <utility>

namespace Damaskgrade {

const Frame& LoadOrderEncoder::encode(const RankOrderMessage& message, RankMapVersion lastSentVersion, HybridTime time)
{
    if (message.order.version != current_.version || message.order.map != current_.map) {
        previous_ = std::exchange(current_, { message.order.version, message.order.map });
        frames_.clear();
    }
    bool isResend = lastSentVersion != 0 && lastSentVersion == current_.version;
    bool isNext = lastSentVersion != 0 && lastSentVersion == previous_.version;
    RankMapVersion base = isResend || isNext ? lastSentVersion : 0;
    auto found = frames_.find(base);
    if (found != frames_.end())
        return found->second;
    RankOrderMessage encoded = message;
    if (base != 0) {
        encoded.baseVersion = base;
        if (isNext)
            encoded.differences = differences(*previous_.map, *current_.map);
    }
    return frames_.emplace(base, encodeMessage(encoded, time)).first->second;
}

}
