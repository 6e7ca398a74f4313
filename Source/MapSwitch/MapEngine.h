#pragma once

#include "MapSwitch/MapMessages.h"

#include <functional>

namespace Damaskgrade {

// The orders that a model engine takes for its expert map. An engine may refuse an epoch whose
// fencing token is stale, or ignore the token. Each callback gets Ok, FencingTokenStale, MapRefused
// or ConnectionFailed; after ConnectionFailed the order may have been carried out or not.
class MapEngine {
public:
    virtual ~MapEngine() = default;

    // Starts to load the weights of a map. The state shows when they are loaded.
    virtual void prepare(const Epoch& epoch, MapVersion version, const std::string& map, std::function<void(ResultCode)> done) = 0;

    // Promises to block before the step until the epoch is released. Refused for an epoch that is not
    // above the settled one or is below the armed one, for a step already executed, and for a version
    // that is not prepared. With version noMap the engine blocks at once, even if it has no map.
    virtual void arm(const Epoch& epoch, std::uint64_t step, MapVersion version, std::function<void(ResultCode)> done) = 0;

    // Gives the outcome of the armed epoch: the version to use from the armed step on, or at once
    // after an arm without a version. The state shows this version immediately. Arming another
    // epoch with a version is refused until that step is reached. Refused unless this epoch is armed.
    virtual void release(const Epoch& epoch, MapVersion version, std::function<void(ResultCode)> done) = 0;

    // Settles an epoch that the engine has not armed, so that it never arms it. Refused while any
    // epoch is armed and without a map. Apart from release, because a refusal that is
    // carried out late must not end an epoch that was armed in the meantime.
    virtual void refuse(const Epoch& epoch, std::function<void(ResultCode)> done) = 0;

    // Gets Ok with the state, or ConnectionFailed.
    virtual void state(std::function<void(ResultCode, const MapEngineState&)> done) = 0;
};

}
