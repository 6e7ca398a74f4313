#pragma once

#include "MapSwitch/MapMessages.h"

#include <functional>

namespace Damaskgrade {

// The interface to a model engine for changes of its expert map. Some engines refuse an epoch whose
// fencing token is stale, others ignore the token. Each callback receives Ok, FencingTokenStale,
// MapRefused or ConnectionFailed. After ConnectionFailed it is unknown whether the order was, or still
// will be, carried out.
class MapEngine {
public:
    virtual ~MapEngine() = default;

    // Starts to load the weights of a map. MapEngineState::preparedVersion shows when they are loaded.
    virtual void prepare(const Epoch& epoch, MapVersion version, const std::string& map, std::function<void(ResultCode)> done) = 0;

    // Makes the engine block before the step until the epoch is released. Refused for an epoch that is
    // not above the settled one or is below the armed one, for a step that has been executed, and for a
    // version that is not prepared. With version noMap the engine blocks at once, even without a map.
    virtual void arm(const Epoch& epoch, std::uint64_t step, MapVersion version, std::function<void(ResultCode)> done) = 0;

    // Sets the outcome of the armed epoch: the version to use from the armed step on, or at once if the
    // epoch was armed without a version. The state contains this version immediately. Arming another
    // epoch with a version is refused until that step is reached. Refused unless this epoch is armed.
    virtual void release(const Epoch& epoch, MapVersion version, std::function<void(ResultCode)> done) = 0;

    // Settles an epoch that the engine has not armed, so that the engine never arms it. Refused while
    // any epoch is armed, and if the engine has no map. Separate from release, because a refusal that
    // is carried out late must not end an epoch that was armed in the meantime.
    virtual void refuse(const Epoch& epoch, std::function<void(ResultCode)> done) = 0;

    // Calls back with Ok and the state, or with ConnectionFailed.
    virtual void state(std::function<void(ResultCode, const MapEngineState&)> done) = 0;
};

}
